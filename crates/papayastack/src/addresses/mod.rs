//! Addresses for callers: which VMs to use, and how a VM leaves without interrupting a request.

mod choice;
mod leaving;
#[cfg(test)]
mod tests;

pub use choice::{ADDRESSES_MAX, AddressQuery, LoadPermille, choose_addresses};
pub use leaving::{Leaving, LeavingPhase};
