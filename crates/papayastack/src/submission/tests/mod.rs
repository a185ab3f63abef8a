//! Tests of submissions.

mod driver;
mod key;
mod store;
