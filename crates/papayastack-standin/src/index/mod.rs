//! The generated documents that stand-in upstreams search: grants with deadlines and label filings.

mod documents;
mod search;
#[cfg(test)]
mod tests;

pub(crate) use documents::{Document, shard_documents};
pub use documents::{document_key, vocabulary};
pub use search::naive_search;
pub(crate) use search::search;
