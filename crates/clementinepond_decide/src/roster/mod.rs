//! Roster: the VMs of a data centre and the parts that they hold.
