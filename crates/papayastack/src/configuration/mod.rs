//! Configuration: the accepted bundle of base and overlays, and what is in force on this VM.

mod bundle;
mod document;
mod driver;
mod gossip;
mod machine;
mod message;
mod peers;
mod store;
#[cfg(test)]
mod tests;
mod watchers;
mod watching;

pub use bundle::{Bundle, CONFIGURATION_KIND, CONFIGURATION_NAME, InForce};
pub use driver::{ConfigurationDriver, ConfigurationHandle, ConfigurationStatus};
pub use machine::{ConfigurationCounters, ConfigurationMachine, ConfigurationOutput};
pub use message::{ConfigurationMessage, DocumentContent, DocumentUpdate, HeldDocument};
pub use store::{RefusedDocument, catalogue_object, configuration_object};
