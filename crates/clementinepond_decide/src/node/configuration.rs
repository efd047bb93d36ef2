//! Routes configuration events and effects.

use super::NodeEffect;
use super::node_reducer::NodeReducer;
use crate::configuration::{self, ConfigurationEffect, ConfigurationEvent};
use crate::roster::RosterEvent;

impl NodeReducer<'_> {
    pub(super) fn reduce_configuration(&mut self, event: ConfigurationEvent) {
        let effects = configuration::reduce(&mut self.state.configuration, event, self.now);
        for effect in effects {
            match effect {
                ConfigurationEffect::Send { to, message } => self.send(to, message),
                ConfigurationEffect::DigestChanged(digest) => {
                    self.reduce_roster(RosterEvent::DigestChanged(digest));
                }
                other => self.effects.push(NodeEffect::Configuration(other)),
            }
        }
    }
}
