//! Routes events and effects of the rate limits, and updates them when the
//! roster changes.

use super::NodeEvent;
use super::node_reducer::NodeReducer;
use super::state::PartsStop;
use crate::limit::{
    self, LimitEffect, LimitEvent, RefusalReason, RemoteDataCentre, RosterView, TicketId,
};
use crate::request::{EndReason, RequestEnd, RequestEvent};
use crate::roster::{RosterEvent, UsableParts};
use clementinepond_types::{LocalTime, PartCount, RequestTicket, TimeSpan};

impl NodeReducer<'_> {
    pub(super) fn reduce_limit(&mut self, event: LimitEvent) {
        let effects = limit::reduce(&mut self.state.limit, event, self.now);
        for effect in effects {
            self.handle_limit_effect(effect);
        }
    }

    fn handle_limit_effect(&mut self, effect: LimitEffect) {
        match effect {
            LimitEffect::Admitted { ticket, deadline } => {
                let deadline = deadline.min(self.parts_deadline());
                self.enqueue_request(RequestEvent::Admitted {
                    ticket: request_ticket(ticket),
                    deadline,
                });
            }
            LimitEffect::Refused {
                ticket,
                reason,
                retry_after,
            } => self.enqueue_request(RequestEvent::Stopped {
                ticket: request_ticket(ticket),
                end: refusal(reason, retry_after),
            }),
            LimitEffect::Send { to, message } => self.send(to, message),
            LimitEffect::Released => {
                self.state.is_limit_released = true;
                self.confirm_stopped_parts();
            }
        }
    }

    fn parts_deadline(&self) -> LocalTime {
        self.state
            .usable_parts
            .as_ref()
            .map_or(self.now, |usable| usable.deadline)
    }

    /// Stores the parts that the roster allows this VM to use.
    ///
    /// After each new change, grants issued under the previous parts expire within the
    /// longest grant lifetime; `confirm_stopped_parts` reports this to the roster.
    pub(super) fn use_parts(&mut self, usable: UsableParts) {
        let is_new = self
            .state
            .usable_parts
            .as_ref()
            .is_none_or(|held| held.change != usable.change);
        if is_new {
            self.state.parts_stop = Some(PartsStop {
                change: usable.change,
                deadline: self.now + self.state.longest_grant_lifetime(),
            });
        }
        self.state.usable_parts = Some(usable);
        self.update_limit_view();
    }

    /// Sets the usable parts to zero once their deadline has passed.
    pub(super) fn expire_parts(&mut self) {
        let is_expired = self
            .state
            .usable_parts
            .as_ref()
            .is_some_and(|usable| usable.deadline <= self.now);
        let is_used = self
            .state
            .limit_view
            .as_ref()
            .is_some_and(|view| view.parts > PartCount::new(0));
        if is_expired && is_used {
            self.update_limit_view();
        }
    }

    /// Notifies the roster once no grant on removed parts is left.
    pub(super) fn confirm_stopped_parts(&mut self) {
        let Some(stop) = self.state.parts_stop else {
            return;
        };
        if self.now >= stop.deadline || self.state.is_limit_released {
            self.state.parts_stop = None;
            let change = stop.change;
            self.enqueue(NodeEvent::Roster(RosterEvent::PartsStopped { change }));
        }
    }

    /// Notifies the rate limits of the parts and members if these have changed.
    pub(super) fn update_limit_view(&mut self) {
        let Some(view) = self.roster_view() else {
            return;
        };
        if self.state.limit_view.as_ref() == Some(&view) {
            return;
        }
        self.state.limit_view = Some(view.clone());
        self.reduce_limit(LimitEvent::PartsChanged(view));
    }

    fn roster_view(&self) -> Option<RosterView> {
        let table = self.state.roster.own_table()?;
        let usable = self.state.usable_parts.as_ref()?;
        let is_usable = usable.deadline > self.now;
        let own = &self.state.data_centre;
        let remote = self.state.roster.tables().iter();
        Some(RosterView {
            epoch: table.value.epoch,
            parts: if is_usable {
                usable.parts
            } else {
                PartCount::new(0)
            },
            share: usable.share,
            members: table.value.members.keys().cloned().collect(),
            remote: remote
                .filter(|(data_centre, _)| *data_centre != own)
                .map(|(data_centre, table)| RemoteDataCentre {
                    data_centre: data_centre.clone(),
                    members: table.value.members.keys().cloned().collect(),
                })
                .collect(),
        })
    }
}

const fn request_ticket(ticket: TicketId) -> RequestTicket {
    RequestTicket::new(ticket.get())
}

const fn refusal(reason: RefusalReason, retry_after: Option<TimeSpan>) -> RequestEnd {
    let reason = match reason {
        RefusalReason::OverRate | RefusalReason::OutOfReach => EndReason::RateLimit,
        RefusalReason::LargerThanBurst { .. } => EndReason::LargerThanBurst,
        RefusalReason::NoAccount => EndReason::AccountInactive,
    };
    RequestEnd::NotRun {
        reason,
        retry_after,
    }
}
