//! Points in time and lengths of time.
//!
//! A [`LocalTime`] comes from the monotonic clock of one VM and cannot be
//! compared with that of another VM. VMs therefore send each other only a
//! [`TimeSpan`], such as the time left until a deadline.

mod local_time;
mod time_span;

pub use local_time::LocalTime;
pub use time_span::{TimeError, TimeSpan};
