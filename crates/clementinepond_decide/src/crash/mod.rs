//! Crash guard: requests that crash the endpoints that run them.
