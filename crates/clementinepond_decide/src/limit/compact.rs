//! Compact forms of quantities in messages between VMs.
//!
//! Settings and objects print their units; messages carry plain numbers.

/// Token counts, as micro-tokens.
pub(super) mod count {
    use clementinepond_types::TokenCount;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(in super::super) fn serialize<S: Serializer>(
        count: &TokenCount,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(count.micro())
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<TokenCount, D::Error> {
        u64::deserialize(deserializer).map(TokenCount::from_micro)
    }
}

/// Token rates, as micro-tokens a second.
pub(super) mod rate {
    use clementinepond_types::TokenRate;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(in super::super) fn serialize<S: Serializer>(
        rate: &TokenRate,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(rate.micro())
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<TokenRate, D::Error> {
        u64::deserialize(deserializer).map(TokenRate::from_micro)
    }
}

/// Lengths of time, as microseconds.
pub(super) mod span {
    use clementinepond_types::TimeSpan;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(in super::super) fn serialize<S: Serializer>(
        span: &TimeSpan,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(span.micros())
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<TimeSpan, D::Error> {
        u64::deserialize(deserializer).map(TimeSpan::from_micros)
    }
}
