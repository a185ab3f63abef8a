//! Membership: which VMs are live, as this VM sees it.

mod view;

pub use view::{Member, MemberState, MemberView, VmIdentity};
