//! Routes claim events and effects between the claim reducer and requests.

use super::NodeEffect;
use super::node_reducer::NodeReducer;
use crate::claim::{self, ClaimEffect, ClaimEvent, ClaimRefusal, ClaimTicket, UnknownReason};
use crate::request::{EndReason, RequestEnd, RequestEvent};
use clementinepond_types::{RequestTicket, TimeSpan};

/// Delay after which a caller may send a request again when its claim is refused.
const CLAIM_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

impl NodeReducer<'_> {
    pub(super) fn reduce_claim(&mut self, event: ClaimEvent) {
        let effects = claim::reduce(&mut self.state.claim, event, self.now);
        for effect in effects {
            self.handle_claim_effect(effect);
        }
    }

    fn handle_claim_effect(&mut self, effect: ClaimEffect) {
        match effect {
            ClaimEffect::Granted { ticket, deadline } => {
                self.enqueue_request(RequestEvent::ClaimGranted {
                    ticket: request_ticket(ticket),
                    deadline,
                });
            }
            ClaimEffect::Refused { ticket, reason } => self.stop_request(ticket, refusal(reason)),
            ClaimEffect::Replay { ticket, answer } => self.stop_request(
                ticket,
                answer.map_or(
                    RequestEnd::Unknown {
                        reason: EndReason::AlreadyRan,
                    },
                    |answer| RequestEnd::Replayed {
                        answer: Box::new(answer),
                    },
                ),
            ),
            ClaimEffect::Unknown { ticket, reason } => self.stop_request(
                ticket,
                RequestEnd::Unknown {
                    reason: match reason {
                        UnknownReason::StillRunning => EndReason::StillRunning,
                        UnknownReason::OutcomeLost => EndReason::OutcomeLost,
                    },
                },
            ),
            ClaimEffect::Send { to, message } => self.send(to, message),
            other => self.effects.push(NodeEffect::Claim(other)),
        }
    }

    fn stop_request(&mut self, ticket: ClaimTicket, end: RequestEnd) {
        self.enqueue_request(RequestEvent::Stopped {
            ticket: request_ticket(ticket),
            end,
        });
    }
}

const fn request_ticket(ticket: ClaimTicket) -> RequestTicket {
    RequestTicket::new(ticket.get())
}

const fn refusal(reason: ClaimRefusal) -> RequestEnd {
    let (reason, retry_after) = match reason {
        ClaimRefusal::FingerprintMismatch => (EndReason::KeyReused, None),
        ClaimRefusal::KeyTooOld | ClaimRefusal::KeyFromFuture => (EndReason::KeyDate, None),
        ClaimRefusal::Full
        | ClaimRefusal::Quarantined
        | ClaimRefusal::OwnerUnreachable
        | ClaimRefusal::DeadlinePassed
        | ClaimRefusal::Abandoned => (EndReason::ClaimUnavailable, Some(CLAIM_RETRY_AFTER)),
    };
    RequestEnd::NotRun {
        reason,
        retry_after,
    }
}
