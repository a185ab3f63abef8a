//! The platform's object API: versioned objects, conditional updates, watches, the list of VMs.

mod api;

pub use api::{
    ListedState, ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError, Precondition,
};
