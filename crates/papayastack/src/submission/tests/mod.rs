//! Tests of submissions, of the state machines alone and of the asynchronous tasks.

mod checker;
mod driver;
mod interleavings;
mod key;
mod scenarios;
mod simulation;
mod store;
