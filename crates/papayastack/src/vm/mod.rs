//! One VM: connects its modules, starts them and stops them.

mod directory_task;
mod dispatcher;
mod entry;
mod leave;
mod leaving_upstreams;
mod links;
mod metered_platform;
mod pending;
mod prune;
mod query_run;
mod replies;
mod service;
mod shared;
mod start;
mod submit;
mod upstream_sender;

pub use shared::VmCounts;
pub(crate) use shared::lock;
pub use start::{Vm, VmError};
