//! Steps of the configuration specification.

use super::mutation::ConfigurationMutation;
use super::state::{ConfigurationBounds, FleetState, HeldText, UpdateMessage, VmState};
use crate::explore::Specification;
use derive_more::Display;

/// Event that may happen next.
#[derive(Debug, Display)]
pub(super) enum ConfigurationStep {
    #[display("the operator writes version {_0}")]
    Write(u8),
    #[display("vm-{_0} reads version {_1} from the platform; the answer is in flight")]
    Read(usize, u8),
    #[display("vm-{_0} forwards {_1}")]
    Forward(usize, UpdateMessage),
    #[display("vm-{_0} receives {_1}")]
    Receive(usize, UpdateMessage),
    #[display("vm-{_0} ends its wait for its peers after a restart")]
    EndBoot(usize),
    #[display("vm-{_0} puts version {_1} in force")]
    Apply(usize, u8),
    #[display("vm-{_0} restarts and loses its state")]
    Restart(usize),
    #[display("vm-{_0} is disconnected from its peers and the platform")]
    Disconnect(usize),
    #[display("vm-{_0} is reconnected")]
    Reconnect(usize),
    #[display("the platform becomes unavailable")]
    PlatformFails,
    #[display("the platform becomes available again")]
    PlatformRecovers,
}

/// The configuration specification within bounds, with at most one mutation.
#[derive(Debug)]
pub(super) struct ConfigurationModel {
    pub(super) bounds: ConfigurationBounds,
    pub(super) mutation: ConfigurationMutation,
}

type NextStates = Vec<(ConfigurationStep, FleetState)>;

impl Specification for ConfigurationModel {
    type State = FleetState;
    type Step = ConfigurationStep;

    fn start(&self) -> FleetState {
        FleetState {
            platform_version: 0,
            platform_unavailable: false,
            messages: [].into(),
            vms: vec![VmState::default(); self.bounds.vms],
            restarts_left: self.bounds.restarts,
            disconnections_left: self.bounds.disconnections,
            outages_left: self.bounds.outages,
        }
    }

    fn steps(&self, state: &FleetState) -> NextStates {
        let mut next = Vec::new();
        self.platform_steps(state, &mut next);
        for vm in 0..state.vms.len() {
            self.message_steps(state, vm, &mut next);
            self.local_steps(state, vm, &mut next);
            fault_steps(state, vm, &mut next);
        }
        next
    }

    fn violated_invariant(&self, state: &FleetState) -> Option<&'static str> {
        super::invariant::violated_invariant(state)
    }
}

impl ConfigurationModel {
    fn platform_steps(&self, state: &FleetState, next: &mut NextStates) {
        if state.platform_version < self.bounds.versions && !state.platform_unavailable {
            let mut after = state.clone();
            after.platform_version += 1;
            next.push((ConfigurationStep::Write(after.platform_version), after));
        }
        if state.platform_unavailable {
            let mut after = state.clone();
            after.platform_unavailable = false;
            next.push((ConfigurationStep::PlatformRecovers, after));
        } else if state.outages_left > 0 {
            let mut after = state.clone();
            after.platform_unavailable = true;
            after.outages_left -= 1;
            next.push((ConfigurationStep::PlatformFails, after));
        }
    }

    fn message_steps(&self, state: &FleetState, vm: usize, next: &mut NextStates) {
        let own = &state.vms[vm];
        if own.disconnected {
            return;
        }
        let read = UpdateMessage::Complete(state.platform_version);
        if !state.platform_unavailable
            && state.platform_version > 0
            && !state.messages.contains(&read)
        {
            let mut after = state.clone();
            after.messages.insert(read);
            next.push((ConfigurationStep::Read(vm, state.platform_version), after));
        }
        for message in sendable(own) {
            if !state.messages.contains(&message) {
                let mut after = state.clone();
                after.messages.insert(message);
                next.push((ConfigurationStep::Forward(vm, message), after));
            }
        }
        for &message in &state.messages {
            let Some(text) = self.apply_message(own, message) else {
                continue;
            };
            let mut after = state.clone();
            after.vms[vm].newest = text;
            next.push((ConfigurationStep::Receive(vm, message), after));
        }
    }

    /// Returns the text that a VM holds after a message; none if it is unchanged.
    fn apply_message(&self, own: &VmState, message: UpdateMessage) -> Option<HeldText> {
        let (version, base) = match message {
            UpdateMessage::Complete(version) => (version, None),
            UpdateMessage::Delta(base) => (base + 1, Some(base)),
        };
        let newer = version > own.newest.version;
        if !newer && self.mutation != ConfigurationMutation::AcceptOlder {
            return None;
        }
        let fits = base.is_none_or(|base| base == own.newest.version);
        if !fits && self.mutation != ConfigurationMutation::SkipBaseCheck {
            return None;
        }
        let genuine = fits && (base.is_none() || own.newest.genuine);
        let text = HeldText { version, genuine };
        (text != own.newest).then_some(text)
    }

    fn local_steps(&self, state: &FleetState, vm: usize, next: &mut NextStates) {
        let own = &state.vms[vm];
        if own.booting {
            let mut after = state.clone();
            let received = if own.disconnected {
                HeldText::default()
            } else {
                newest_of_peers(state, vm)
            };
            let booted = &mut after.vms[vm];
            booted.booting = false;
            if received.version > booted.newest.version {
                booted.newest = received;
            }
            next.push((ConfigurationStep::EndBoot(vm), after));
        }
        let waits = own.booting && self.mutation != ConfigurationMutation::ApplyFirstReceived;
        if own.newest != own.in_force && own.newest.version > 0 && !waits {
            let mut after = state.clone();
            let applied = &mut after.vms[vm];
            applied.in_force = applied.newest;
            applied.highest = applied.highest.max(applied.in_force.version);
            next.push((ConfigurationStep::Apply(vm, own.newest.version), after));
        }
    }
}

/// Returns the messages that a VM may forward.
fn sendable(own: &VmState) -> Vec<UpdateMessage> {
    let version = own.newest.version;
    if version == 0 || !own.newest.genuine {
        return Vec::new();
    }
    let complete = UpdateMessage::Complete(version);
    let delta = (version > 1).then(|| UpdateMessage::Delta(version - 1));
    std::iter::once(complete).chain(delta).collect()
}

fn newest_of_peers(state: &FleetState, vm: usize) -> HeldText {
    let peers = state.vms.iter().enumerate();
    let reached = peers.filter(|(index, peer)| *index != vm && !peer.disconnected);
    let texts = reached.map(|(_, peer)| peer.newest);
    texts.max_by_key(|text| text.version).unwrap_or_default()
}

fn fault_steps(state: &FleetState, vm: usize, next: &mut NextStates) {
    let own = &state.vms[vm];
    if state.restarts_left > 0 && own.highest > 0 {
        let peers = state.vms.iter().enumerate();
        let reached = peers.filter(|(index, peer)| *index != vm && !peer.disconnected);
        let floor = reached.map(|(_, peer)| peer.in_force.version).max();
        let mut after = state.clone();
        after.restarts_left -= 1;
        after.vms[vm] = VmState {
            booting: true,
            floor: floor.filter(|_| !own.disconnected).unwrap_or_default(),
            disconnected: own.disconnected,
            ..VmState::default()
        };
        lower_floors(&mut after);
        next.push((ConfigurationStep::Restart(vm), after));
    }
    if own.disconnected {
        let mut after = state.clone();
        after.vms[vm].disconnected = false;
        next.push((ConfigurationStep::Reconnect(vm), after));
    } else if state.disconnections_left > 0 {
        let mut after = state.clone();
        after.disconnections_left -= 1;
        after.vms[vm].disconnected = true;
        // A version that only the disconnected VM has in force cannot be
        // received, so no VM is required to have it.
        after.vms.iter_mut().for_each(|vm| vm.floor = 0);
        next.push((ConfigurationStep::Disconnect(vm), after));
    }
}

/// Lowers the floor of each VM to the newest version that a connected peer has in
/// force.
fn lower_floors(state: &mut FleetState) {
    let peers = state.vms.clone();
    for (vm, own) in state.vms.iter_mut().enumerate() {
        let others = peers.iter().enumerate();
        let reached = others.filter(|(index, peer)| *index != vm && !peer.disconnected);
        let highest = reached.map(|(_, peer)| peer.in_force.version).max();
        own.floor = own.floor.min(highest.unwrap_or_default());
    }
}
