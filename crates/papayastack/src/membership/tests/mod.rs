//! Tests of the membership protocol.

mod cluster;
mod decoding;
mod driver;
mod faults;
mod interleavings;
