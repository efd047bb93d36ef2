//! Crash guard: requests that crash the endpoints that run them.
//!
//! Every request in flight at an endpoint that was lost becomes a suspect.
//! Suspects run one at a time on an endpoint, and one copy at a time in the
//! fleet, by permit of one arbiter VM; a suspect that completes is cleared. A
//! suspect with two confirmed losses whose evidence passes the threshold is
//! refused from then on, at every VM, until the verdict expires or an operator
//! releases it.
//!
//! A broken connection is a pending loss. It is confirmed by a changed
//! incarnation or by the endpoint's lasting absence, and dismissed by a report
//! of the same incarnation that was asked for after the break. What VMs tell
//! each other about losses only grows, so that order and repeats do not matter.

mod arbiter;
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
mod soundness;
mod state;
mod suspect;
mod verdict;
mod verdict_store;

pub use effect::{CrashEffect, CrashRefusal};
pub use event::CrashEvent;
pub use identity::{CrashTicket, EndpointIncarnation, EndpointLoss, RequestFingerprint};
pub use loss::LossFate;
pub use message::{CrashMessage, LossReport, PermitReply, SuspectReport};
pub use object::{VerdictObject, VerdictRecord};
pub use reduce::reduce;
pub use settings::{CrashMutation, CrashSettings, CrashSharing};
pub use state::{CrashCounts, CrashState};
pub use verdict::{Verdict, VerdictView};
