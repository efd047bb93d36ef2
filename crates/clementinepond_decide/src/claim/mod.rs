//! Claims: at most one run of a keyed, non-idempotent request.
