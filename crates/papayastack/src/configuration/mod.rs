//! Configuration: the accepted bundle of base and overlays, and what is in force on this VM.

mod bundle;

pub use bundle::{Bundle, CONFIGURATION_KIND, CONFIGURATION_NAME, InForce};
