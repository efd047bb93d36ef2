//! Passing messages on in a tree.
//!
//! The sender divides the receivers among the first few of them; each gets
//! the message with the receivers that it passes it on to. So no VM needs the
//! sender's view of the members.

use clementinepond_types::{ObjectVersion, VmId};

/// One receiver and the VMs that it passes the message on to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TreeBranch {
    /// Receiver.
    pub(super) to: VmId,
    /// VMs behind it.
    pub(super) subtree: Vec<VmId>,
}

/// Divides receivers into at most `fan_out` branches of even size.
pub(super) fn branches(receivers: &[VmId], fan_out: usize) -> Vec<TreeBranch> {
    if receivers.is_empty() {
        return Vec::new();
    }
    let count = fan_out.clamp(1, receivers.len());
    let (heads, rest) = receivers.split_at(count);
    let mut branches: Vec<TreeBranch> = heads
        .iter()
        .map(|head| TreeBranch {
            to: head.clone(),
            subtree: Vec::new(),
        })
        .collect();
    for (index, vm) in rest.iter().enumerate() {
        if let Some(branch) = branches.get_mut(index % count) {
            branch.subtree.push(vm.clone());
        }
    }
    branches
}

/// Orders receivers differently for each version, so that every VM is at the
/// root of the tree equally often.
pub(super) fn rotated(members: &[VmId], own: &VmId, version: ObjectVersion) -> Vec<VmId> {
    let mut others: Vec<VmId> = members.iter().filter(|vm| *vm != own).cloned().collect();
    if others.is_empty() {
        return others;
    }
    let length = u64::try_from(others.len()).unwrap_or(1);
    let start = usize::try_from(version.get().wrapping_mul(11) % length).unwrap_or_default();
    others.rotate_left(start);
    others
}
