//! Distribution of the configuration: some VMs of each region watch the platform for new versions
//! of the bundle and the catalogues, VMs pass them on by gossip, and each VM puts valid ones in
//! force.

mod apply;
mod apply_driver;
mod bundle;
mod document;
mod driver;
mod gossip;
mod machine;
mod message;
mod peer_versions;
mod rollout;
mod status;
mod store;
#[cfg(test)]
mod tests;
mod watch_schedule;

pub use apply::{ApplyInput, ApplyMachine, ApplyOutcome, ApplyOutput, ApplyRequest, RaceReport};
pub use apply_driver::apply;
pub use bundle::{
    ActiveConfiguration, Bundle, CONFIGURATION_KIND, CONFIGURATION_NAME, EARLIER_CHANGES_MAX,
};
pub use driver::{ConfigurationDriver, ConfigurationHandle, ConfigurationStatus};
pub use machine::{ConfigurationCounters, ConfigurationMachine, ConfigurationOutput};
pub use message::{ConfigurationMessage, DocumentContent, DocumentUpdate, HeldDocument};
pub use rollout::{LagReason, LaggingVm, Rollout};
pub use status::VmStatus;
pub use store::{RefusedDocument, catalogue_object, configuration_object};
