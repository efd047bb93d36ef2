//! The plan object on the platform.

use super::{EndpointAction, OrderNumber};
use clementinepond_types::{EndpointId, FencingNumber, TimeSpan, VmId};
use serde::{Deserialize, Serialize};

/// Order that was written down before it was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderIntent {
    /// Endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Number of the order.
    pub number: OrderNumber,
    /// What the order asks for.
    pub action: EndpointAction,
    /// Why the order is given.
    pub reason: Box<str>,
}

/// Copy that the plan works towards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementGoal {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// What shall be done there next.
    pub action: EndpointAction,
    /// Why.
    pub reason: Box<str>,
}

/// Identity of one write of the plan object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteId {
    /// Random number of the acquisition.
    pub nonce: u64,
    /// Number of the write within it.
    pub renewals: u64,
}

/// Content of the object of kind `plan` of one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanObject {
    /// VM that holds the lease; none after a release.
    pub holder: Option<VmId>,
    /// Random number of the holder's acquisition.
    pub nonce: u64,
    /// Fencing number of the holder's orders.
    pub fencing: FencingNumber,
    /// Number of the write within the acquisition.
    pub renewals: u64,
    /// Length of the lease, from its holder's send of the write.
    pub lease: TimeSpan,
    /// Longest time that an order may travel and act after its deadline.
    pub arrival_margin: TimeSpan,
    /// Longest time from an order's send to its deadline.
    pub order_span: TimeSpan,
    /// Orders that may still take effect.
    pub orders: Vec<OrderIntent>,
    /// What the plan works towards.
    pub goals: Vec<PlacementGoal>,
}

impl PlanObject {
    /// Returns whether a write is from an acquisition.
    #[must_use]
    pub fn is_from(&self, vm: &VmId, nonce: u64) -> bool {
        self.holder.as_ref() == Some(vm) && self.nonce == nonce
    }

    /// Returns the identity of the write.
    #[must_use]
    pub const fn write_id(&self) -> WriteId {
        WriteId {
            nonce: self.nonce,
            renewals: self.renewals,
        }
    }

    /// Returns how long after its write the holder may still issue orders.
    #[must_use]
    pub fn authority_duration(&self) -> TimeSpan {
        match self.holder {
            Some(_) => self.lease,
            None => TimeSpan::ZERO,
        }
    }

    /// Returns how long after its write an order may still take effect.
    #[must_use]
    pub fn effect_duration(&self) -> TimeSpan {
        let issue = match self.holder {
            Some(_) => self.lease,
            None => self.order_span,
        };
        issue + self.arrival_margin
    }
}
