//! Routing: the endpoint that a request is sent to.
