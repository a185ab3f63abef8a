//! The document versions that peers have confirmed to hold.

use std::collections::BTreeMap;

use super::message::HeldDocument;
use super::store::configuration_object;
use crate::ids::VmAddress;
use crate::membership::{MemberView, VmIdentity};
use crate::platform::{ObjectName, ObjectVersion};

/// Maximum number of peers whose confirmed versions are kept.
const PEERS_MAX: usize = 256;

/// The document versions that each peer last confirmed.
///
/// This is the last-sent vector of Singhal and Kshemkalyani (1992) with one change: an entry
/// is updated when the peer confirms a version rather than when a message is sent, because links
/// between VMs break and sent messages may be lost.
#[derive(Debug, Default)]
pub(crate) struct PeerVersions {
    confirmed: BTreeMap<VmIdentity, BTreeMap<ObjectName, ObjectVersion>>,
}

impl PeerVersions {
    /// Drops peers that have left the view or whose address now belongs to another incarnation.
    pub(crate) fn retain(&mut self, view: &MemberView) {
        self.confirmed.retain(|identity, _| identity_at(identity.address, view) == Some(identity));
    }

    /// Records the version that `peer` holds.
    pub(crate) fn record(&mut self, peer: VmAddress, held: &HeldDocument, view: &MemberView) {
        let Some(identity) = identity_at(peer, view) else { return };
        if !self.confirmed.contains_key(identity) && self.confirmed.len() >= PEERS_MAX {
            self.confirmed.pop_first();
        }
        let versions = self.confirmed.entry(identity.clone()).or_default();
        versions.insert(held.name.clone(), held.version);
    }

    /// Returns the version of a document that `peer` has confirmed or, for the bundle, announced
    /// through membership; `None` if unknown.
    pub(crate) fn version(
        &self,
        peer: VmAddress,
        name: &ObjectName,
        view: &MemberView,
    ) -> Option<ObjectVersion> {
        let member = view.members.get(&peer)?;
        let versions = self.confirmed.get(&member.identity);
        let confirmed = versions.and_then(|versions| versions.get(name)).copied();
        let announced = Some(member.configuration_version)
            .filter(|version| *name == configuration_object() && *version > 0);
        confirmed.max(announced)
    }
}

fn identity_at(address: VmAddress, view: &MemberView) -> Option<&VmIdentity> {
    view.members.get(&address).map(|member| &member.identity)
}
