//! Distribution of parts over members.

use super::{RosterMember, RosterTable};
use clementinepond_types::{PartCount, VmId};
use std::collections::BTreeSet;

/// Assigns each unheld part to the eligible member that then holds the fewest.
pub(super) fn assign_unheld(table: &mut RosterTable, eligible: &BTreeSet<VmId>) {
    let mut unheld = table.unheld().get();
    while unheld > 0 {
        let Some(member) = member_with_fewest_parts(table, eligible) else {
            return;
        };
        member.parts = member.parts.next();
        unheld -= 1;
    }
}

fn member_with_fewest_parts<'a>(
    table: &'a mut RosterTable,
    eligible: &BTreeSet<VmId>,
) -> Option<&'a mut RosterMember> {
    table
        .members
        .iter_mut()
        .filter(|(vm, _)| eligible.contains(*vm))
        .min_by_key(|(_, member)| member.parts)
        .map(|(_, member)| member)
}

/// Returns how many parts a member should keep, or `None` when it should
/// release none.
///
/// Only the member with the most parts releases some, so that members do not
/// all write at once. Deviations of less than a quarter of the even share are
/// tolerated.
pub(super) fn parts_after_release(
    table: &RosterTable,
    own: &VmId,
    live: &BTreeSet<VmId>,
) -> Option<PartCount> {
    let even = table.even_share();
    let slack = (even.get() / 4).max(1);
    let (most, member) = table
        .members
        .iter()
        .max_by_key(|(vm, member)| (member.parts, *vm))?;
    if most != own || member.parts.get() < even.get() + slack {
        return None;
    }
    let lacking: u32 = table
        .members
        .iter()
        .filter(|(vm, member)| live.contains(*vm) && member.parts.get() + slack < even.get())
        .map(|(_, member)| even.get() - member.parts.get())
        .sum();
    let released = lacking.min(member.parts.get() - even.get());
    (released > 0).then(|| PartCount::new(member.parts.get() - released))
}
