//! The owner of a shard: takes it over, grants its claims and stores them.

mod commit;
mod copying;
mod expiry;
mod granting;
mod shard;
mod taking;

pub(crate) use commit::{commit_read, commit_stored, deposed, flush, release_done};
pub(crate) use copying::{copies_acknowledged, replica_enlisted, resend_copies};
pub(crate) use expiry::{holder_lost, sweep};
pub(crate) use granting::{ask, report};
pub(crate) use shard::{
    Collecting, Holding, OwnerContext, Reading, SettledRecord, ShardEntry, ShardTenure,
};
pub(crate) use taking::{collected, read_replied, taking_tick};
