//! Gossip-based membership: which VMs are live, as seen by this VM.

mod budget;
mod counts;
mod driver;
mod liveness;
mod message;
mod protocol;
mod regions;
#[cfg(test)]
mod tests;
mod updates;
mod view;

pub use counts::MembershipCounts;
pub use driver::{Membership, MembershipError};
pub use protocol::{MEMBERSHIP_TICK, MembershipDatagram, MembershipProtocol, Notice, ViewChange};
pub use view::{Member, MemberState, MemberView, VmIdentity};
