//! Calls to endpoints: attempts, cancellation and reports.

mod attempt;
mod edge;
mod inference;
mod order;
mod report;
mod service;

pub(crate) use edge::{AddressBook, EndpointAddress, EndpointEdge};
pub(crate) use order::PlanOrder;
pub(crate) use report::run_reports;
