//! Calls seen and runs counted.

use crate::network::HttpCall;
use std::collections::{BTreeMap, VecDeque};

/// One call as it arrived.
#[derive(Debug, Clone)]
pub struct RecordedCall {
    /// Method.
    pub method: Box<str>,
    /// Path.
    pub path: Box<str>,
    /// Header names and values.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body as text.
    pub body: Box<str>,
}

impl RecordedCall {
    /// Returns whether the text occurs in the path, a header or the body.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        let in_headers =
            |(name, value): &(Box<str>, Box<str>)| name.contains(text) || value.contains(text);
        self.path.contains(text) || self.body.contains(text) || self.headers.iter().any(in_headers)
    }

    /// Returns the first value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.as_ref() == name);
        found.map(|(_, value)| value.as_ref())
    }
}

/// The latest calls, and how often each request ran.
#[derive(Debug, Default, Clone)]
pub struct CallRecord {
    limit: usize,
    calls: VecDeque<RecordedCall>,
    run_order: VecDeque<Box<str>>,
    runs_by_request: BTreeMap<Box<str>, u64>,
    runs_by_body: BTreeMap<Box<str>, u64>,
    /// Calls that arrived, also those no longer kept.
    pub arrived: u64,
    /// Requests that began to run.
    pub runs: u64,
    /// Requests refused before anything ran.
    pub refused: u64,
    /// Requests that began to run although the endpoint was draining.
    pub runs_while_draining: u64,
    /// Orders to load that did not fit into the memory.
    pub memory_refusals: u64,
    /// Orders refused because of an old fencing number.
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

    /// Returns whether the text occurs in any kept call.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        self.calls.iter().any(|call| call.contains(text))
    }

    /// Returns the identifiers of the latest runs, in the order of their start.
    #[must_use]
    pub fn run_order(&self) -> &VecDeque<Box<str>> {
        &self.run_order
    }

    /// Returns how often a request of this identifier ran.
    #[must_use]
    pub fn runs_of_request(&self, id: &str) -> u64 {
        self.runs_by_request.get(id).copied().unwrap_or_default()
    }

    /// Returns how often a request with this body ran.
    #[must_use]
    pub fn runs_of_body(&self, body: &str) -> u64 {
        self.runs_by_body.get(body).copied().unwrap_or_default()
    }

    /// Returns the number of runs of each body.
    #[must_use]
    pub fn runs_by_body(&self) -> &BTreeMap<Box<str>, u64> {
        &self.runs_by_body
    }
}
