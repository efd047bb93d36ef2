//! Requests that reach their endpoint through a peer.
//!
//! A VM that cannot connect to an endpoint sends the request, as it would send it to the
//! endpoint, to a peer's address for snapshots. The peer passes it on over connections of its
//! own, never through a third VM, and relays the answer as it arrives. Everything else stays
//! with the first VM: the key, the quota, the choice of the endpoint, its limit, retries and
//! the deadline. An answer that ends with its endpoint's connection is sent in chunks, so
//! that the end of a peer is told apart from the end of the answer.

mod body;
mod client;
mod outcome;
mod server;

pub(crate) use body::PeerBody;
pub(crate) use client::{ask_reach, forward};
pub(crate) use server::{ForwardLoad, answer_reach, is_forwarded, serve_forwarded};

/// Header with the name of the endpoint that a request is for.
const ENDPOINT_HEADER: &str = "clementinepond-forward-endpoint";
/// Header of a request that must not be sent twice.
const ONCE_HEADER: &str = "clementinepond-forward-once";
/// Path prefix of a question whether a peer reaches an endpoint.
pub(crate) const REACH_PATH: &str = "/reach/";
