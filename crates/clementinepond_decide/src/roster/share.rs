//! Share of the fleet that the data centre holds.
//!
//! The fleet's table states what each data centre holds. To lower its share, a
//! data centre first lowers it in its own table and marks the table as
//! releasing. When every member uses no more than the lowered share, a relay
//! lowers the share in the fleet's table, and then the mark is cleared. A data centre raises the share
//! in its own table only without a mark and from a fleet table at least as new
//! as the one that cleared the last mark. The members of a data centre
//! therefore never use more than the fleet's table assigns to it.

use super::{RosterEffect, RosterMutation, RosterState, RosterTable, ShareTable};
use crate::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{LocalTime, ObjectVersion};
use std::collections::BTreeMap;

/// Call to the platform about the fleet shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ShareCall {
    /// No call is in progress.
    Idle {
        /// Earliest time of the next call.
        retry: LocalTime,
    },
    /// A read is in progress.
    Reading {
        /// Time after which it counts as lost.
        until: LocalTime,
    },
    /// An update is in progress.
    Storing {
        /// New content of the object.
        table: ShareTable,
        /// Time after which it counts as lost.
        until: LocalTime,
    },
}

/// Plans the change of the share in the own table.
pub(super) fn plan_own_share(state: &RosterState, table: &mut RosterTable) {
    let (Some(target), Some(shares)) = (state.share_target, &state.shares) else {
        return;
    };
    let fleet = shares.value.share(&table.data_centre);
    if table.share_releasing {
        if shares.version > table.share_version && fleet == table.share {
            table.share_releasing = false;
            table.share_version = shares.version;
        }
        return;
    }
    if shares.version < table.share_version {
        return;
    }
    if fleet > target {
        table.share = table.share.min(target);
        table.share_version = shares.version;
        table.share_releasing = true;
    } else if fleet > table.share {
        table.share = fleet;
        table.share_version = shares.version;
    }
}

/// Starts the next call about the fleet shares when one is needed.
pub(super) fn drive_shares(
    state: &mut RosterState,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    match &state.share_call {
        ShareCall::Reading { until } | ShareCall::Storing { until, .. } if now < *until => return,
        ShareCall::Idle { retry } if now < *retry => return,
        _ => {}
    }
    let is_settled = is_settled(state);
    if !state.relay || state.own_entry().is_none() || is_settled {
        return;
    }
    let until = now + state.settings.answer_limit;
    match plan_fleet_shares(state) {
        Some(table) => {
            effects.push(RosterEffect::StoreShares {
                if_version: shares_version(state),
                table: table.clone(),
                deadline: until,
            });
            state.share_call = ShareCall::Storing { table, until };
        }
        None => {
            effects.push(RosterEffect::ReadShares);
            state.share_call = ShareCall::Reading { until };
        }
    }
}

fn shares_version(state: &RosterState) -> ObjectVersion {
    state
        .shares
        .as_ref()
        .map_or_else(ObjectVersion::default, |shares| shares.version)
}

/// Returns whether the own table, the fleet's table and the target agree.
fn is_settled(state: &RosterState) -> bool {
    let (Some(target), Some(object)) = (state.share_target, state.own_table()) else {
        return true;
    };
    let table = &object.value;
    let fleet = state
        .shares
        .as_ref()
        .map(|shares| shares.value.share(&table.data_centre));
    fleet == Some(target) && table.share == target && !table.share_releasing
}

/// Returns the next content of the fleet's table; `None` when a read is needed first or
/// when the own share in it does not change.
fn plan_fleet_shares(state: &mut RosterState) -> Option<ShareTable> {
    let target = state.share_target?;
    let table = state.own_table()?.value.clone();
    let data_centre = table.data_centre.clone();
    let known = state.shares.as_ref().map(|shares| shares.value.clone());
    let mut shares = match known {
        Some(known) => known,
        None if state.shares_missing => ShareTable {
            shares: BTreeMap::new(),
            holder: state.own.vm.clone(),
            nonce: table.nonce,
        },
        None => return None,
    };
    let fleet = shares.share(&data_centre);
    let next = if table.share_releasing {
        let may_lower = all_comply(state, &table);
        may_lower.then_some(table.share)
    } else {
        let gain = target.saturating_sub(fleet).min(shares.unheld());
        Some(fleet + gain)
    }?;
    if next == fleet {
        return None;
    }
    shares.shares.insert(data_centre, next);
    shares.holder = state.own.vm.clone();
    shares.nonce = state.next_nonce();
    Some(shares)
}

/// Returns whether every member is known to use no more than the table's share.
fn all_comply(state: &RosterState, table: &RosterTable) -> bool {
    state.mutated(RosterMutation::ShareBeforeStop)
        || table.members.keys().all(|vm| state.complying.contains(vm))
}

/// Applies the answer to a read.
pub(super) fn shares_read(state: &mut RosterState, reply: ReadReply<ShareTable>, now: LocalTime) {
    let is_updated = match reply {
        ReadReply::Found(object) => {
            state.shares_missing = false;
            adopt_shares(state, object)
        }
        ReadReply::Missing => {
            state.shares_missing = state.shares.is_none();
            true
        }
        ReadReply::Unavailable => false,
    };
    end_call(state, is_updated, now);
}

/// Applies the answer to an update.
pub(super) fn shares_stored(
    state: &mut RosterState,
    reply: StoreReply<ShareTable>,
    now: LocalTime,
) {
    let is_updated = match (reply, &state.share_call) {
        (StoreReply::Stored { version }, ShareCall::Storing { table, .. }) => {
            let object = VersionedObject {
                version,
                value: table.clone(),
            };
            adopt_shares(state, object)
        }
        (StoreReply::Conflict(Some(object)), _) => adopt_shares(state, object),
        // The next update is conditional on the same version, so at most one
        // of the two takes effect; its conflict brings the newer table.
        _ => false,
    };
    end_call(state, is_updated, now);
}

/// Ends the call; the next one may start at once if `is_updated`.
fn end_call(state: &mut RosterState, is_updated: bool, now: LocalTime) {
    let retry = if is_updated {
        now
    } else {
        now + state.settings.list_period
    };
    state.share_call = ShareCall::Idle { retry };
}

fn adopt_shares(state: &mut RosterState, object: VersionedObject<ShareTable>) -> bool {
    let is_newer = object.version > shares_version(state);
    if is_newer {
        state.shares = Some(object);
    }
    is_newer
}

/// Records this VM as complying when it uses no more than the table's share. A newer
/// table clears the record.
pub(super) fn record_compliance(state: &mut RosterState) {
    let complies = state.own_entry().is_some()
        && state.outstanding_share <= state.usable_share()
        && state
            .announced
            .as_ref()
            .is_some_and(|announced| announced.share <= state.usable_share());
    if complies {
        state.complying.insert(state.own.vm.clone());
    }
}
