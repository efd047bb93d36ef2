//! Routes roster events and effects, and passes new member lists to the other
//! reducers.

use super::node_reducer::NodeReducer;
use super::{NodeEffect, PeerMessage};
use crate::claim::ClaimEvent;
use crate::configuration::ConfigurationEvent;
use crate::crash::CrashEvent;
use crate::plan::PlanEvent;
use crate::roster::{self, RosterEffect, RosterEvent};
use clementinepond_types::{DataCentreId, Epoch, VmId};

impl NodeReducer<'_> {
    pub(super) fn reduce_roster(&mut self, event: RosterEvent) {
        let effects = roster::reduce(&mut self.state.roster, event, self.now);
        for effect in effects {
            self.handle_roster_effect(effect);
        }
        self.propagate_members();
    }

    fn handle_roster_effect(&mut self, effect: RosterEffect) {
        match effect {
            RosterEffect::Send { to, message } => self.send(to, message),
            RosterEffect::SendAddress { address, message } => {
                self.effects.push(NodeEffect::SendAddress {
                    address,
                    message: Box::new(PeerMessage::from(message)),
                });
            }
            RosterEffect::UseParts(usable) => self.use_parts(usable),
            RosterEffect::MembersChanged { local, remote } => {
                self.reduce_plan(PlanEvent::RosterChanged {
                    members: local.iter().cloned().collect(),
                });
                self.reduce_configuration(ConfigurationEvent::MembersChanged { local, remote });
            }
            RosterEffect::RelayChanged { active } => {
                self.reduce_configuration(ConfigurationEvent::RelayChanged { active });
            }
            RosterEffect::PeerDigest { from, digest } => {
                self.reduce_configuration(ConfigurationEvent::PeerDigest { from, digest });
            }
            RosterEffect::Released => self.effects.push(NodeEffect::Released),
            other => self.effects.push(NodeEffect::Roster(other)),
        }
    }

    /// Notifies claims and the crash guard of tables whose epoch has changed, and updates the
    /// rate limits.
    fn propagate_members(&mut self) {
        let changed: Vec<(DataCentreId, Epoch, Vec<VmId>)> = self
            .state
            .roster
            .tables()
            .iter()
            .filter(|(data_centre, table)| {
                self.state.known_epochs.get(*data_centre) != Some(&table.value.epoch)
            })
            .map(|(data_centre, table)| {
                let members = table.value.members.keys().cloned().collect();
                (data_centre.clone(), table.value.epoch, members)
            })
            .collect();
        if changed.is_empty() {
            return;
        }
        for (data_centre, epoch, members) in changed {
            self.state.known_epochs.insert(data_centre.clone(), epoch);
            self.reduce_claim(ClaimEvent::RosterChanged {
                data_centre: data_centre.clone(),
                epoch,
                members: members.clone(),
            });
            self.reduce_crash(CrashEvent::RosterChanged {
                data_centre,
                epoch,
                members,
            });
        }
        self.update_limit_view();
    }
}
