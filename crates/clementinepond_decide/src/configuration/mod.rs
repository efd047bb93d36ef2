//! Configuration: the newest accepted version, relayed between VMs.
