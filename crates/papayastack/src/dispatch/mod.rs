//! Dispatch: the queue and the slots in front of one upstream.

mod gate;
#[cfg(test)]
mod tests;

pub use gate::{CancelResult, Gate, GateLimits, OfferResult, Ticket, Waiting};
