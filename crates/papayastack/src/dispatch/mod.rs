//! Dispatch: the slots and the queue in front of one upstream.

mod queue;
#[cfg(test)]
mod tests;

pub use queue::{
    CancelResult, DispatchLimits, DispatchQueue, OfferResult, SubRequest, SubRequestId,
};
