//! Crash guard: detects and blocks poison requests, which crash the endpoints
//! that run them.
//!
//! Every request in flight at an endpoint process that was lost becomes a
//! suspect. A suspect that had run for less than [`CrashSettings::fresh_limit`]
//! is a likely culprit and shares an endpoint with no other suspect; up to
//! [`CrashSettings::group_limit`] less likely suspects may share one. A suspect
//! needs a permit to run; one VM, the arbiter, grants the permits, for one run
//! of a suspect in the fleet at a time.
//! A suspect that completes is cleared. A suspect with
//! [`CrashSettings::loss_limit`] confirmed losses (2 by default) whose evidence
//! reaches the threshold is blocked at every VM until the verdict expires or an
//! operator releases it.
//!
//! A broken connection is a pending loss. It is confirmed by a report of
//! another incarnation, when the endpoint counts as unreachable, or after
//! [`CrashSettings::pending_limit`]; it is dismissed by a report of the same
//! incarnation that was requested after the break. The status of a loss merges
//! to the larger of two values, so that neither the order of messages nor
//! duplicates matter; the exception is a dismissed loss, which becomes pending
//! again when another connection to the same process breaks.

mod arbiter;
mod completion;
mod effect;
mod event;
mod evidence;
mod guard;
mod identity;
mod loss;
mod message;
mod object;
mod permit;
mod reduce;
mod run;
mod settings;
mod state;
mod suspect;
mod verdict;
mod verdict_store;

pub use effect::{CrashEffect, CrashRefusal};
pub use event::CrashEvent;
pub use identity::{CrashTicket, EndpointIncarnation, EndpointLoss, RequestFingerprint};
pub use loss::LossStatus;
pub use message::{CrashMessage, LossReport, PermitReply, SuspectReport};
pub use object::{VerdictObject, VerdictRecord};
pub use reduce::reduce;
pub use settings::{CrashMutation, CrashSettings, CrashSharing};
pub use state::{CrashCounts, CrashState};
pub use verdict::{Verdict, VerdictView};
