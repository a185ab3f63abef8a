//! Tests of submissions.

mod checker;
mod driver;
mod interleavings;
mod key;
mod situations;
mod store;
mod world;
