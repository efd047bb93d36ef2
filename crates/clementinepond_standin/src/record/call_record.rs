//! Recorded calls and counts of runs.

use crate::network::HttpCall;
use std::collections::{BTreeMap, VecDeque};

/// Call as received.
#[derive(Debug, Clone)]
pub struct RecordedCall {
    /// HTTP method.
    pub method: Box<str>,
    /// Path, not decoded.
    pub path: Box<str>,
    /// Header names in lower case, and values.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body, with invalid UTF-8 replaced.
    pub body: Box<str>,
}

impl RecordedCall {
    /// Returns whether the path, a header or the body contains a text.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        let in_headers =
            |(name, value): &(Box<str>, Box<str>)| name.contains(text) || value.contains(text);
        self.path.contains(text) || self.body.contains(text) || self.headers.iter().any(in_headers)
    }

    /// Returns the first value of a header; `name` is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.as_ref() == name);
        found.map(|(_, value)| value.as_ref())
    }
}

/// Latest calls, and number of runs of each request.
#[derive(Debug, Default, Clone)]
pub struct CallRecord {
    limit: usize,
    calls: VecDeque<RecordedCall>,
    run_order: VecDeque<Box<str>>,
    runs_by_request: BTreeMap<Box<str>, u64>,
    runs_by_body: BTreeMap<Box<str>, u64>,
    /// Number of calls received, including those no longer kept.
    pub arrived: u64,
    /// Number of requests that started to run.
    pub runs: u64,
    /// Number of requests refused before they ran.
    pub refused: u64,
    /// Number of requests that started to run while the endpoint was draining.
    pub runs_while_draining: u64,
    /// Number of load orders refused for lack of memory.
    pub memory_refusals: u64,
    /// Number of orders refused because of an old fencing number.
    pub fencing_refusals: u64,
}

impl CallRecord {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    pub(crate) fn record_call(&mut self, call: &HttpCall) {
        self.arrived += 1;
        if self.limit == 0 {
            return;
        }
        if self.calls.len() == self.limit {
            self.calls.pop_front();
        }
        let header = |(name, value): (&salvo::http::HeaderName, &salvo::http::HeaderValue)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.as_str().into(), value.into())
        };
        self.calls.push_back(RecordedCall {
            method: call.method.as_str().into(),
            path: call.path.clone(),
            headers: call.headers.iter().map(header).collect(),
            body: String::from_utf8_lossy(&call.body).into(),
        });
    }

    pub(crate) fn record_run(&mut self, call: &HttpCall) {
        self.runs += 1;
        if self.limit == 0 {
            return;
        }
        if let Some(id) = call.header("x-request-id") {
            *self.runs_by_request.entry(id.into()).or_default() += 1;
            if self.run_order.len() == self.limit {
                self.run_order.pop_front();
            }
            self.run_order.push_back(id.into());
        }
        let body: Box<str> = String::from_utf8_lossy(&call.body).into();
        *self.runs_by_body.entry(body).or_default() += 1;
    }

    /// Returns the latest calls, oldest first.
    #[must_use]
    pub fn calls(&self) -> &VecDeque<RecordedCall> {
        &self.calls
    }

    /// Returns whether any kept call contains a text.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        self.calls.iter().any(|call| call.contains(text))
    }

    /// Returns the request identifiers of the latest runs, in the order in which
    /// they started.
    #[must_use]
    pub fn run_order(&self) -> &VecDeque<Box<str>> {
        &self.run_order
    }

    /// Returns the number of runs of requests with this identifier.
    #[must_use]
    pub fn runs_of_request(&self, id: &str) -> u64 {
        self.runs_by_request.get(id).copied().unwrap_or_default()
    }

    /// Returns the number of runs of requests with this body.
    #[must_use]
    pub fn runs_of_body(&self, body: &str) -> u64 {
        self.runs_by_body.get(body).copied().unwrap_or_default()
    }

    /// Returns the number of runs by body.
    #[must_use]
    pub fn runs_by_body(&self) -> &BTreeMap<Box<str>, u64> {
        &self.runs_by_body
    }
}
