//! The interface to the platform's object store: versions, conditional updates, watches.
//!
//! The HTTP client is in the adapter crate (`platform/` at the root of the repository); the modules
//! of this crate use only [`Platform`] and its typed errors. Versions count the updates of the
//! whole store, so that an object that is deleted and created again never repeats a version.

mod api;

pub use api::{
    ListedState, ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError,
    Precondition, StoreEra, object_version, version_era, version_revision,
};
