//! Membership: which VMs are live, as this VM sees it.

mod budget;
mod counts;
mod driver;
mod message;
mod protocol;
mod regions;
mod standing;
#[cfg(test)]
mod tests;
mod updates;
mod view;

pub use counts::MembershipCounts;
pub use driver::{Membership, MembershipError};
pub use protocol::{MEMBERSHIP_TICK, MembershipDatagram, MembershipProtocol, Notice, ViewChange};
pub use view::{Member, MemberState, MemberView, VmIdentity};
