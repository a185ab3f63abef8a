//! One VM: its slices wired together and its parts started and stopped.

mod desk;
mod directory_task;
mod entry;
mod follow;
mod links;
mod pending;
mod query_run;
mod shared;
mod start;

pub use shared::VmCounts;
pub use start::{Vm, VmError};
