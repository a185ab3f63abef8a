//! Settings: the system's configuration as every VM of a site sees it, and a VM's own settings.

mod local;
mod schema;

pub use local::LocalSettings;
pub use schema::{
    AddressSettings, ClassSettings, DataCentreSettings, LimitSettings, MembershipSettings,
    PlatformSettings, QueryClass, RoutingPolicy, RoutingSettings, ServiceSettings, Settings,
    SubmissionSettings, UpstreamSettings,
};
