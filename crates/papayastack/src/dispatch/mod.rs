//! Dispatch: the slots and the queue in front of one upstream.

mod gate;
#[cfg(test)]
mod tests;

pub use gate::{CancelResult, Gate, GateLimits, OfferResult, Ticket, Waiting};
