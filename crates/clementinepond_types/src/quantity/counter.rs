//! Integer quantities with addition and saturating subtraction only.

use derive_more::{Add, AddAssign, Display, FromStr, Sum};
use serde::{Deserialize, Serialize};

macro_rules! whole_number {
    ($(#[$doc:meta] $name:ident($inner:ty) $format:literal),+ $(,)?) => {$(
        #[$doc]
        #[derive(
            Debug, Display, FromStr, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Add, AddAssign, Sum, Serialize, Deserialize,
        )]
        #[display($format, _0)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Creates a quantity from a number.
            #[must_use]
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next larger value; the largest value returns itself.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Returns the difference, or zero if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    )+};
}

whole_number! {
    /// Number of a roster generation.
    Epoch(u64) "{}",
    /// Number by which endpoints reject orders of an earlier lease holder.
    FencingNumber(u64) "{}",
    /// Version that the platform assigns to an object.
    ObjectVersion(u64) "{}",
    /// Accelerator memory in MiB.
    MemorySize(u64) "{} MiB",
    /// Number of parts of a data centre's share of each limit; 1,024 parts are the complete share.
    PartCount(u32) "{}",
    /// Number that identifies a running request within one VM.
    RequestTicket(u64) "{}",
    /// Priority class of a request; larger numbers are served first.
    PriorityClass(u8) "{}",
}
