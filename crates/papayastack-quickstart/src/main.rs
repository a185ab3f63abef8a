//! Four VMs and their stand-ins in one process.

fn main() {}
