//! Coordination parts of a query tier over many search shards.
//!
//! The crate owns the outcome of a request: each [`Answer`] is complete or honestly labelled and
//! comes from one snapshot; each [`Refusal`] says how certainly the request did not run.
//!
//! | slice | duty |
//! |---|---|
//! | `outcome` | answers, coverage, verdicts, refusals |
//! | `settings` | the configuration of a site and of a VM |
//! | `platform` | the platform's object API |
//! | `catalogue` | snapshots and shard maps |
//! | `configuration` | the accepted bundle and what is in force |
//! | `membership` | which VMs are live |
//! | `addresses` | addresses for callers, and how a VM leaves |
//! | `routing` | owners of upstreams, the directory that a query pins |
//! | `admission` | how many queries run at once |
//! | `query` | the decisions of a fan-out |
//! | `dispatch` | queue and slots in front of an upstream |
//! | `link` | connections between VMs |
//! | `listen` | HTTP connections with bounds |
//! | `vm` | one VM, wired together |
//! | `seal` | keys, sealed datagrams and authenticated links between VMs |
//! | `upstream` | the upstreams' protocol and client |
//! | `caller` | the callers' protocol and HTTP server |
//! | `observe` | trace contexts, spans, logs, metrics |
//! | `submission` | submissions that run at most once |
//! | `operator` | the operators' HTTP server |

mod addresses;
mod admission;
mod caller;
mod catalogue;
mod configuration;
mod dispatch;
mod ids;
mod link;
mod listen;
mod membership;
mod observe;
mod operator;
mod outcome;
mod platform;
mod query;
mod routing;
mod seal;
mod settings;
mod submission;
mod upstream;
mod vm;

pub use addresses::*;
pub use admission::*;
pub use caller::*;
pub use catalogue::*;
pub use configuration::*;
pub use dispatch::*;
pub use ids::*;
pub use link::*;
pub use listen::*;
pub use membership::*;
pub use observe::*;
pub use operator::*;
pub use outcome::*;
pub use platform::*;
pub use query::*;
pub use routing::*;
pub use seal::*;
pub use settings::*;
pub use submission::*;
pub use upstream::*;
pub use vm::*;
