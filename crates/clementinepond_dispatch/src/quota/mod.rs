//! Quotas of client accounts over the whole fleet.
//!
//! Every VM keeps a copy of each account's bucket. It takes its own
//! admissions at once and those of its peers when their news arrive. While
//! peers are silent, only the part of the refill that belongs to the VMs in
//! contact is used, so that both sides of a partition together stay within
//! the account's rate.

mod account_bucket;
mod rate_limiter;

pub use account_bucket::AccountBucket;
pub use rate_limiter::{AccountSnapshot, QuotaVerdict, RateLimiter};
