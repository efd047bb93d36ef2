//! Limits: rate and burst of a client account over all VMs.
