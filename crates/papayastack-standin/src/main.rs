//! Stand-ins for upstreams and for the platform.

fn main() {}
