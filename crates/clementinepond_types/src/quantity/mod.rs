//! Counts, rates and memory sizes.

mod counter;
mod token;

pub use counter::{
    Epoch, FencingNumber, MemorySize, ObjectVersion, PartCount, PriorityClass, RequestTicket,
};
pub use token::{QuantityError, TokenCount, TokenRate};
