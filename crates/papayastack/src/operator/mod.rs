//! The operators' interface: metrics, status, health and drain over HTTP.

mod server;
#[cfg(test)]
mod tests;

pub use server::{
    DRAIN_PATH, HEALTH_PATH, METRICS_PATH, OperatorServer, OperatorService, READY_PATH, Readiness,
    STATUS_PATH,
};
