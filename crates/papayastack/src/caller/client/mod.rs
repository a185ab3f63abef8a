//! The callers' library: asks the system for addresses, spreads, and retries where that is safe.

mod attempt;
pub(super) mod book;
mod call;
mod error;
mod handle;
pub(super) mod retry;

pub use call::{CallContext, new_submission_key};
pub use error::CallError;
pub use handle::CallerClient;
