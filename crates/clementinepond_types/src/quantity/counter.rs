//! Whole-number quantities without arithmetic of their own.

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
            /// Wraps a plain number.
            #[must_use]
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the plain number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the value that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Subtracts, stopping at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    )+};
}

whole_number! {
    /// Number of one roster generation.
    Epoch(u64) "{}",
    /// Number that endpoints compare to refuse orders of an earlier plan holder.
    FencingNumber(u64) "{}",
    /// Version that the platform gives to an object.
    ObjectVersion(u64) "{}",
    /// Accelerator memory, in MiB.
    MemorySize(u64) "{} MiB",
    /// Parts of a data centre's share of every limit; 1,024 make the whole.
    PartCount(u32) "{}",
    /// Number by which one VM tells its running requests apart.
    RequestTicket(u64) "{}",
    /// Priority class of a request; a larger number is served first.
    PriorityClass(u8) "{}",
}
