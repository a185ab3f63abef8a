//! The daemon on each entry VM.

fn main() {}
