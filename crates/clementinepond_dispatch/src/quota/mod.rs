//! Rate limits of client accounts over the whole fleet.
//!
//! Every VM keeps a copy of each account's token bucket. It deducts its own admissions
//! at once, and those of its peers when their messages arrive. While peers are not
//! live, a VM uses only the share of the refill that corresponds to the live VMs, so
//! that both sides of a partition together stay within the account's rate.

mod account_bucket;
mod rate_limiter;

pub use account_bucket::AccountBucket;
pub use rate_limiter::{AccountSnapshot, QuotaVerdict, RateLimiter};
