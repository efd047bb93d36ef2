//! Rejections by brittle endpoints, which fall over if they have to reject too many requests
//! in a second for want of room.
//!
//! Such an endpoint gets requests only for its free slots, and none for a while after some
//! rejections, those of other VMs included.

mod rejection_table;

pub use rejection_table::{EndpointRoom, RejectionTable};
