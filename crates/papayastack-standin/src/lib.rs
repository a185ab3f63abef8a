//! Stand-ins for upstreams and for the platform, for tests and measurements.
//!
//! | module | duty |
//! |---|---|
//! | `control` | the HTTP interface that switches faults |
//! | `index` | the seeded documents and the naive search over them |
//! | `patch` | merge patches of behaviours |
//! | `server` | HTTP connections that can be limited, delayed, refused and cut |
//! | `upstream` | one upstream with slots and faults |
//! | `platform` | the object API with rate limits and faults |
//! | `place` | the users' places at the sizes of today |

mod control;
mod index;
mod patch;
mod place;
mod platform;
mod server;
mod upstream;

pub use control::{ControlStandin, PlatformState, UpstreamState};
pub use index::{document_key, naive_search, vocabulary};
pub use patch::PatchError;
pub use place::{
    Place, PlaceOptions, PlaceStandin, ServiceShape, publish_bundle, publish_catalogue,
};
pub use platform::{PlatformBehaviour, PlatformCounts, PlatformStandin};
pub use upstream::{
    LoadReport, ServiceTime, UpstreamBehaviour, UpstreamCounts, UpstreamSpec, UpstreamStandin,
};
