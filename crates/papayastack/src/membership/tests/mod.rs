//! Tests of the membership protocol.

mod cluster;
mod driver;
mod faults;
mod interleavings;
