//! Admission control: how many queries of a service one VM runs at once.

mod limiter;
#[cfg(test)]
mod tests;

pub use limiter::{Admission, AdmissionResult, QueryEnd};
