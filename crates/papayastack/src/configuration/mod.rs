//! Configuration: the accepted bundle of base and overlays, and what is in force on this VM.

mod apply;
mod apply_driver;
mod bundle;
mod document;
mod driver;
mod gossip;
mod machine;
mod message;
mod peers;
mod rollout;
mod status;
mod store;
#[cfg(test)]
mod tests;
mod watchers;
mod watching;

pub use apply::{ApplyInput, ApplyMachine, ApplyOutcome, ApplyOutput, ApplyRequest, RaceReport};
pub use apply_driver::apply;
pub use bundle::{Bundle, CONFIGURATION_KIND, CONFIGURATION_NAME, EARLIER_CHANGES_MAX, InForce};
pub use driver::{ConfigurationDriver, ConfigurationHandle, ConfigurationStatus};
pub use machine::{ConfigurationCounters, ConfigurationMachine, ConfigurationOutput};
pub use message::{ConfigurationMessage, DocumentContent, DocumentUpdate, HeldDocument};
pub use rollout::{LagReason, LaggingVm, Rollout};
pub use status::VmStatus;
pub use store::{RefusedDocument, catalogue_object, configuration_object};
