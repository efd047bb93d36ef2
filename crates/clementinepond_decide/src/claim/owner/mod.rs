//! The owner of a shard: takes it over, grants its claims and stores them.

mod commit;
mod copying;
mod granting;
mod shard;
mod taking;

pub(crate) use commit::{commit_read, commit_stored, deposed, flush, release_done};
pub(crate) use copying::{copies_acknowledged, replica_enlisted, resend_copies};
pub(crate) use granting::{ask, holder_lost, report, sweep};
pub(crate) use shard::{
    Collecting, Holding, OwnerContext, Reading, SettledRecord, ShardEntry, ShardTenure,
};
pub(crate) use taking::{collected, read_replied, taking_tick};
