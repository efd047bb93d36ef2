//! Placement: which models and adapters each endpoint holds.
