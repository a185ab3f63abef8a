//! Settings: the configuration shared by all VMs of a site, and the local settings of one VM.

mod check;
mod classes;
mod fault;
mod local;
mod nearest;
mod overlay;
mod parse;
mod pointer;
mod reference;
mod reference_page;
mod render;
mod schema;
#[cfg(test)]
mod tests;

pub use fault::{Fault, SettingsFile};
pub use local::LocalSettings;
pub use nearest::nearest_name;
pub use reference_page::settings_reference;
pub(crate) use render::render_if_bundle_valid;
pub use render::{check, render};
pub use schema::{
    AddressSettings, ClassSettings, DataCentreSettings, LimitSettings, MembershipSettings,
    PlatformSettings, QueryClass, RoutingPolicy, RoutingSettings, ServiceSettings, Settings,
    SubmissionSettings, UpstreamSettings,
};
