//! Calls to endpoints: attempts, cancellation, placement orders and reports.

mod attempt;
mod client;
mod inference;
mod order;
mod report;
mod service;

pub(crate) use client::{EndpointAddress, EndpointAddresses, EndpointClient};
pub(crate) use order::PlanOrder;
pub(crate) use report::poll_reports;
