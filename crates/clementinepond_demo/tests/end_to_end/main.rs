//! A deployment seen from its callers and operators, over real sockets.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

mod bad_input;
mod client_library;
mod failures;
mod key_secrecy;
mod support;
mod tls;
mod whole_path;
