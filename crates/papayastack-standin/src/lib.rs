//! Stand-ins for upstreams and for the platform, for tests and measurements.
//!
//! | module | contents |
//! |---|---|
//! | `control` | the HTTP interface that changes faults at run time |
//! | `index` | the generated documents and the naive search over them |
//! | `patch` | JSON merge patches of behaviours |
//! | `server` | HTTP connections that can be limited, delayed, refused and closed |
//! | `upstream` | one upstream with slots and faults |
//! | `platform` | the object API with rate limits and faults |
//! | `deployment` | the users' deployments at their current sizes |

mod control;
mod deployment;
mod index;
mod patch;
mod platform;
mod server;
mod upstream;

pub use control::{ControlStandin, PlatformState, UpstreamState};
pub use deployment::{
    Deployment, DeploymentOptions, DeploymentStandin, ServiceShape, publish_bundle,
    publish_catalogue,
};
pub use index::{document_key, naive_search, vocabulary};
pub use patch::PatchError;
pub use platform::{PlatformBehaviour, PlatformCounts, PlatformStandin};
pub use upstream::{
    LoadReport, ServiceTime, UpstreamBehaviour, UpstreamCounts, UpstreamSpec, UpstreamStandin,
};
