//! The client library: discovers the VMs, spreads requests over them, and retries where that is
//! safe.

pub(super) mod address_book;
mod attempt;
mod call;
mod error;
mod handle;
pub(super) mod retry;

pub use call::{CallContext, new_submission_key};
pub use error::CallError;
pub use handle::CallerClient;
