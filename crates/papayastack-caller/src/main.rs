//! The callers' command line.

fn main() {}
