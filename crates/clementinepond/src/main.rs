//! The command.

fn main() {}
