//! Serialization of quantities as plain integers in messages between VMs.
//!
//! Settings and platform objects print quantities with their units instead.

/// Token counts as micro-tokens.
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

/// Token rates as micro-tokens per second.
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

/// Durations as microseconds.
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
