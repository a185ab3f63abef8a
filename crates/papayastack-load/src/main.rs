//! Open-loop load and experiments on loopback.

fn main() {}
