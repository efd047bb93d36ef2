//! Requests: the life cycle of one request, from caller to answer.
