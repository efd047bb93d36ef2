//! The plan object, which the platform stores.

use super::{EndpointAction, OrderNumber};
use clementinepond_types::{EndpointId, FencingNumber, TimeSpan, VmId};
use serde::{Deserialize, Serialize};

/// Order stored in the plan object before it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderIntent {
    /// Endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Number of the order.
    pub number: OrderNumber,
    /// Load, unload or role change to carry out.
    pub action: EndpointAction,
    /// Reason, for operators.
    pub reason: Box<str>,
}

/// Load that waits for free memory or for the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementGoal {
    /// Endpoint to change.
    pub endpoint: EndpointId,
    /// Action to order there.
    pub action: EndpointAction,
    /// Reason, for operators.
    pub reason: Box<str>,
}

/// Identity of one write of the plan object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteId {
    /// Random number of the acquisition.
    pub nonce: u64,
    /// Number of the write within the acquisition.
    pub renewals: u64,
}

/// Content of the object of kind `plan` of one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanObject {
    /// Lease holder; none after a release.
    pub holder: Option<VmId>,
    /// Random number of the holder's acquisition.
    pub nonce: u64,
    /// Fencing number of the holder's orders.
    pub fencing: FencingNumber,
    /// Number of the write within the acquisition.
    pub renewals: u64,
    /// Length of the lease, counted from the time at which its holder sent the write.
    pub lease: TimeSpan,
    /// Longest time after its deadline at which an order may still arrive and act.
    pub arrival_margin: TimeSpan,
    /// Longest time from an order's send to its deadline.
    pub order_span: TimeSpan,
    /// Orders that may still take effect.
    pub orders: Vec<OrderIntent>,
    /// Loads that wait for free memory or for the weight store, at most 16.
    pub goals: Vec<PlacementGoal>,
}

impl PlanObject {
    /// Returns whether the given VM wrote this object in the given acquisition.
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

    /// Returns how long after this write its holder may still issue orders; zero
    /// after a release.
    #[must_use]
    pub fn authority_duration(&self) -> TimeSpan {
        match self.holder {
            Some(_) => self.lease,
            None => TimeSpan::ZERO,
        }
    }

    /// Returns how long after this write an order may still take effect.
    ///
    /// After a release, orders that were sent before it remain.
    #[must_use]
    pub fn effect_duration(&self) -> TimeSpan {
        let issue = match self.holder {
            Some(_) => self.lease,
            None => self.order_span,
        };
        issue + self.arrival_margin
    }
}
