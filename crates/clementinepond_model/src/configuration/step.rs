//! Steps of the configuration specification.

use super::mutation::ConfigurationMutation;
use super::state::{ConfigurationBounds, FleetState, HeldText, UpdateMessage, VmState};
use crate::explore::Specification;
use derive_more::Display;

/// What may happen.
#[derive(Debug, Display)]
pub(super) enum ConfigurationStep {
    #[display("the operator writes version {_0}")]
    Write(u8),
    #[display("vm-{_0} reads version {_1} from the platform; the answer is under way")]
    Read(usize, u8),
    #[display("vm-{_0} passes on {_1}")]
    PassOn(usize, UpdateMessage),
    #[display("vm-{_0} receives {_1}")]
    Receive(usize, UpdateMessage),
    #[display("vm-{_0} has waited for its peers after its restart")]
    EndBoot(usize),
    #[display("vm-{_0} puts version {_1} in force")]
    Apply(usize, u8),
    #[display("vm-{_0} restarts and has forgotten everything")]
    Restart(usize),
    #[display("vm-{_0} is cut off from its peers and the platform")]
    CutOff(usize),
    #[display("vm-{_0} is reached again")]
    Reconnect(usize),
    #[display("the platform goes away")]
    GoAway,
    #[display("the platform comes back")]
    ComeBack,
}

/// The specification within bounds.
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
            platform: 0,
            platform_away: false,
            messages: [].into(),
            vms: vec![VmState::default(); self.bounds.vms],
            restarts_left: self.bounds.restarts,
            cuts_left: self.bounds.cuts,
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

    fn breach(&self, state: &FleetState) -> Option<&'static str> {
        super::invariant::breach(state)
    }
}

impl ConfigurationModel {
    fn platform_steps(&self, state: &FleetState, next: &mut NextStates) {
        if state.platform < self.bounds.versions && !state.platform_away {
            let mut after = state.clone();
            after.platform += 1;
            next.push((ConfigurationStep::Write(after.platform), after));
        }
        if state.platform_away {
            let mut after = state.clone();
            after.platform_away = false;
            next.push((ConfigurationStep::ComeBack, after));
        } else if state.outages_left > 0 {
            let mut after = state.clone();
            after.platform_away = true;
            after.outages_left -= 1;
            next.push((ConfigurationStep::GoAway, after));
        }
    }

    fn message_steps(&self, state: &FleetState, vm: usize, next: &mut NextStates) {
        let own = &state.vms[vm];
        if own.cut_off {
            return;
        }
        let read = UpdateMessage::Whole(state.platform);
        if !state.platform_away && state.platform > 0 && !state.messages.contains(&read) {
            let mut after = state.clone();
            after.messages.insert(read);
            next.push((ConfigurationStep::Read(vm, state.platform), after));
        }
        for message in sendable(own) {
            if !state.messages.contains(&message) {
                let mut after = state.clone();
                after.messages.insert(message);
                next.push((ConfigurationStep::PassOn(vm, message), after));
            }
        }
        for &message in &state.messages {
            let Some(text) = self.received(own, message) else {
                continue;
            };
            let mut after = state.clone();
            after.vms[vm].newest = text;
            next.push((ConfigurationStep::Receive(vm, message), after));
        }
    }

    /// Returns the text that a VM holds after a message, if it changes.
    fn received(&self, own: &VmState, message: UpdateMessage) -> Option<HeldText> {
        let (version, base) = match message {
            UpdateMessage::Whole(version) => (version, None),
            UpdateMessage::Difference(base) => (base + 1, Some(base)),
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
            let heard = if own.cut_off {
                HeldText::default()
            } else {
                newest_of_peers(state, vm)
            };
            let booted = &mut after.vms[vm];
            booted.booting = false;
            if heard.version > booted.newest.version {
                booted.newest = heard;
            }
            next.push((ConfigurationStep::EndBoot(vm), after));
        }
        let waits = own.booting && self.mutation != ConfigurationMutation::ApplyFirstHeard;
        if own.newest != own.in_force && own.newest.version > 0 && !waits {
            let mut after = state.clone();
            let applied = &mut after.vms[vm];
            applied.in_force = applied.newest;
            applied.highest = applied.highest.max(applied.in_force.version);
            next.push((ConfigurationStep::Apply(vm, own.newest.version), after));
        }
    }
}

/// Returns what a VM may pass on.
fn sendable(own: &VmState) -> Vec<UpdateMessage> {
    let version = own.newest.version;
    if version == 0 || !own.newest.genuine {
        return Vec::new();
    }
    let whole = UpdateMessage::Whole(version);
    let difference = (version > 1).then(|| UpdateMessage::Difference(version - 1));
    std::iter::once(whole).chain(difference).collect()
}

fn newest_of_peers(state: &FleetState, vm: usize) -> HeldText {
    let peers = state.vms.iter().enumerate();
    let reached = peers.filter(|(index, peer)| *index != vm && !peer.cut_off);
    let texts = reached.map(|(_, peer)| peer.newest);
    texts.max_by_key(|text| text.version).unwrap_or_default()
}

fn fault_steps(state: &FleetState, vm: usize, next: &mut NextStates) {
    let own = &state.vms[vm];
    if state.restarts_left > 0 && own.highest > 0 {
        let peers = state.vms.iter().enumerate();
        let reached = peers.filter(|(index, peer)| *index != vm && !peer.cut_off);
        let floor = reached.map(|(_, peer)| peer.in_force.version).max();
        let mut after = state.clone();
        after.restarts_left -= 1;
        after.vms[vm] = VmState {
            booting: true,
            floor: floor.filter(|_| !own.cut_off).unwrap_or_default(),
            cut_off: own.cut_off,
            ..VmState::default()
        };
        lower_floors(&mut after);
        next.push((ConfigurationStep::Restart(vm), after));
    }
    if own.cut_off {
        let mut after = state.clone();
        after.vms[vm].cut_off = false;
        next.push((ConfigurationStep::Reconnect(vm), after));
    } else if state.cuts_left > 0 {
        let mut after = state.clone();
        after.cuts_left -= 1;
        after.vms[vm].cut_off = true;
        // Nobody can hear what is out of reach.
        after.vms.iter_mut().for_each(|vm| vm.floor = 0);
        next.push((ConfigurationStep::CutOff(vm), after));
    }
}

/// Expects of restarted VMs no more than what a live peer in reach has
/// in force.
fn lower_floors(state: &mut FleetState) {
    let peers = state.vms.clone();
    for (vm, own) in state.vms.iter_mut().enumerate() {
        let others = peers.iter().enumerate();
        let reached = others.filter(|(index, peer)| *index != vm && !peer.cut_off);
        let highest = reached.map(|(_, peer)| peer.in_force.version).max();
        own.floor = own.floor.min(highest.unwrap_or_default());
    }
}
