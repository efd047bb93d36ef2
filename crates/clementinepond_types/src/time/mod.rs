//! Clock values.
//!
//! A [`LocalTime`] is read from one VM's monotonic clock and is never
//! compared with another VM's. Between VMs only a [`TimeSpan`] travels: the
//! time left until a deadline.

mod local_time;
mod time_span;

pub use local_time::LocalTime;
pub use time_span::{TimeError, TimeSpan};
