//! Forwarding of messages through a tree of VMs.
//!
//! The sender sends a message to the first few receivers and divides the others among
//! them. Each message lists the VMs to which its receiver forwards it, so the
//! receivers need not have the same list of members as the sender.

use clementinepond_types::{ObjectVersion, VmId};

/// Direct receiver of a message, with the VMs to which it forwards the message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TreeBranch {
    /// Direct receiver.
    pub(super) to: VmId,
    /// VMs to which the receiver forwards the message.
    pub(super) subtree: Vec<VmId>,
}

/// Divides receivers into at most `fan_out` branches whose sizes differ by at most one.
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

/// Returns the members except this VM, rotated by the version, so that the VMs near the
/// root of the tree change from version to version.
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
