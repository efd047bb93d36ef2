//! Owner of a shard: takes it over, grants its claims and stores them.

mod commit;
mod copying;
mod expiry;
mod granting;
mod shard;
mod takeover;

pub(crate) use commit::{commit_read, commit_stored, flush, release_done, restart_takeover};
pub(crate) use copying::{copies_acknowledged, replica_enlisted, resend_copies};
pub(crate) use expiry::{holder_lost, sweep};
pub(crate) use granting::{report, request};
pub(crate) use shard::{
    Collecting, Holding, OwnerContext, Reading, SettledRecord, ShardEntry, ShardTenure,
};
pub(crate) use takeover::{collected, read_replied, takeover_tick};
