//! What peers have confirmed to hold.

use std::collections::BTreeMap;

use super::message::HeldDocument;
use super::store::configuration_object;
use crate::ids::VmAddress;
use crate::membership::{MemberView, VmIdentity};
use crate::platform::{ObjectName, ObjectVersion};

/// Peers whose versions are remembered.
const PEERS_MAX: usize = 256;

/// The versions that peers last confirmed.
///
/// This is the last-sent vector of Singhal and Kshemkalyani (1992) with one change: an entry
/// rises when the peer confirms, not when a message is sent, because links between VMs break and
/// what was sent may be lost.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    confirmed: BTreeMap<VmIdentity, BTreeMap<ObjectName, ObjectVersion>>,
}

impl Peers {
    /// Forgets peers that are gone or were replaced at their address.
    pub(crate) fn retain(&mut self, view: &MemberView) {
        self.confirmed.retain(|identity, _| identity_at(identity.address, view) == Some(identity));
    }

    /// Notes what `peer` holds.
    pub(crate) fn confirm(&mut self, peer: VmAddress, held: &HeldDocument, view: &MemberView) {
        let Some(identity) = identity_at(peer, view) else { return };
        if !self.confirmed.contains_key(identity) && self.confirmed.len() >= PEERS_MAX {
            self.confirmed.pop_first();
        }
        let versions = self.confirmed.entry(identity.clone()).or_default();
        versions.insert(held.name.clone(), held.version);
    }

    /// Returns the version of a document that `peer` is known to hold.
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
