//! Gossip between peers: the part of [`ConfigurationMachine`] that exchanges documents with them.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use super::document::{UpdateError, resolve_update};
use super::machine::{ConfigurationMachine, ConfigurationOutput, RequestedVersion};
use super::message::{ConfigurationMessage, DocumentContent, DocumentUpdate, HeldDocument};
use super::store::configuration_object;
use super::watch_schedule::jittered;
use crate::ids::VmAddress;
use crate::platform::{ObjectName, ObjectVersion};

/// Maximum number of peers to which a VM sends or announces a version that it has adopted.
const FAN_OUT: usize = 6;
/// The largest update that is sent to a peer without a request; larger ones are announced.
const PUSH_MAX_BYTES: usize = 8 * 1024;
/// Mean interval between digests, each of which goes to one random peer.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Mean interval between digests while no configuration is in force.
const STARTUP_DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// How long a peer may take to send a requested document before another peer is asked.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

impl ConfigurationMachine {
    /// Sends a digest, if one is due, to a random peer among those with a newer bundle, or among
    /// all peers if there are none.
    pub(super) fn send_digest(&mut self, now: Instant) {
        if now < self.next_digest_at {
            return;
        }
        let empty = self.in_force().is_none();
        let interval = if empty { STARTUP_DIGEST_INTERVAL } else { DIGEST_INTERVAL };
        self.next_digest_at = now + interval / 2 + jittered(interval, &mut self.random);
        let mut candidates = self.peers_ahead();
        if candidates.is_empty() {
            candidates = self.other_members().collect();
        }
        let Some(peer) = candidates.choose(&mut self.random).copied() else { return };
        let message = self.digest(self.store.held_documents(), true, now);
        self.send(peer, message);
    }

    /// Sends or announces the newly adopted version of `name` to peers that may not hold it.
    pub(super) fn push_to_peers(
        &mut self,
        name: &ObjectName,
        from: Option<VmAddress>,
        now: Instant,
    ) {
        let version = self.store.version(name);
        let peers_behind = self
            .other_members()
            .filter(|peer| Some(*peer) != from)
            .filter(|peer| self.peer_versions.version(*peer, name, &self.members) < Some(version));
        let peers_behind: Vec<VmAddress> = peers_behind.collect();
        let targets = peers_behind.choose_multiple(&mut self.random, FAN_OUT);
        let targets: Vec<VmAddress> = targets.copied().collect();
        for peer in targets {
            let peer_version = self.peer_versions.version(peer, name, &self.members);
            self.push_or_announce(peer, name, peer_version, now);
        }
    }

    /// Handles a digest from a peer: replies with newer versions and requests those that this VM
    /// lacks.
    ///
    /// A complete digest lists all documents of the peer; a partial one announces, requests or
    /// acknowledges single documents.
    pub(super) fn on_digest(
        &mut self,
        from: VmAddress,
        held: &[HeldDocument],
        complete: bool,
        now: Instant,
    ) {
        for document in held {
            self.peer_versions.record(from, document, &self.members);
        }
        // Sends the bundle first, because it determines which catalogues the peer needs.
        for name in self.store.needed_documents().into_iter().rev() {
            let peer_document = held.iter().find(|document| document.name == name);
            let (version, judged_version) = match peer_document {
                Some(peer_document) => (peer_document.version, peer_document.judged_version),
                None if complete => (0, 0),
                None => continue,
            };
            if self.store.version(&name) <= judged_version {
                continue;
            }
            if complete {
                self.push_or_announce(from, &name, Some(version), now);
            } else {
                self.send_update(from, &name, version);
            }
        }
        let lacking = held.iter().filter(|peer_document| self.should_request(peer_document, now));
        let lacking: Vec<HeldDocument> = lacking.cloned().collect();
        self.request_updates(from, &lacking, now);
    }

    /// Handles an update of a document from a peer.
    pub(super) fn on_update(&mut self, from: VmAddress, update: DocumentUpdate, now: Instant) {
        let (name, version) = (update.name.clone(), update.version);
        let peer_document = HeldDocument { name: name.clone(), version, judged_version: version };
        self.peer_versions.record(from, &peer_document, &self.members);
        if !self.store.needs(&name) {
            return;
        }
        if version <= self.store.highest_decided_version(&name) {
            self.acknowledge(from, &name, now);
            return;
        }
        match resolve_update(self.store.document(&name), &update) {
            Ok(new) => {
                let needed_before = self.store.needed_documents();
                self.offer(&name, new, Some(from), now);
                if self.store.needed_documents() == needed_before {
                    self.acknowledge(from, &name, now);
                } else {
                    let message = self.digest(self.store.held_documents(), true, now);
                    self.send(from, message);
                }
            }
            Err(error) => self.on_unusable_update(from, &update, &error, now),
        }
    }

    /// Records when the latest platform answer came that a peer knows of; `silence_ms` is the time
    /// since then.
    pub(super) fn record_platform_silence(&mut self, silence_ms: Option<u64>, now: Instant) {
        let answered_at = silence_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        self.platform_answered_at = self.platform_answered_at.max(answered_at);
    }

    /// Sends a small update directly and only announces a large one, so that a peer that several
    /// VMs push to receives the large one once.
    fn push_or_announce(
        &mut self,
        peer: VmAddress,
        name: &ObjectName,
        peer_version: Option<ObjectVersion>,
        now: Instant,
    ) {
        let Some(document) = self.store.document(name) else { return };
        // A peer whose version is unknown most likely holds the previous one; otherwise it replies
        // with its version, and receives the matching update.
        let base_version = peer_version.or(document.previous_version());
        let message = if document.update_size_bytes(base_version) <= PUSH_MAX_BYTES {
            ConfigurationMessage::Update(document.update_since(name, base_version))
        } else {
            self.digest(vec![self.store.held_document(name)], false, now)
        };
        self.send(peer, message);
    }

    fn send_update(&mut self, peer: VmAddress, name: &ObjectName, peer_version: ObjectVersion) {
        let Some(document) = self.store.document(name) else { return };
        let update = document.update_since(name, Some(peer_version));
        self.send(peer, ConfigurationMessage::Update(update));
    }

    /// Returns whether the version that a peer offers is newer and no pending request covers it.
    fn should_request(&self, offered: &HeldDocument, now: Instant) -> bool {
        let newer = self.store.needs(&offered.name)
            && offered.version > self.store.highest_decided_version(&offered.name);
        let last = self.requested.get(&offered.name);
        newer && last.is_none_or(|last| last.version < offered.version || last.retry_at <= now)
    }

    /// Requests documents by a partial digest that reports the older versions held here.
    fn request_updates(&mut self, peer: VmAddress, lacking: &[HeldDocument], now: Instant) {
        if lacking.is_empty() {
            return;
        }
        for peer_document in lacking {
            self.record_request(&peer_document.name, peer_document.version, now);
        }
        let own_versions = lacking
            .iter()
            .map(|peer_document| self.store.held_document(&peer_document.name))
            .collect();
        let message = self.digest(own_versions, false, now);
        self.send(peer, message);
    }

    fn on_unusable_update(
        &mut self,
        from: VmAddress,
        update: &DocumentUpdate,
        error: &UpdateError,
        now: Instant,
    ) {
        self.counters.updates_unusable += 1;
        let mut own_version = self.store.held_document(&update.name);
        match (error, &update.content) {
            (UpdateError::Corrupt, DocumentContent::Whole(_)) => return,
            // Reporting version zero requests the whole document.
            (UpdateError::Corrupt, DocumentContent::Difference { .. }) => own_version.version = 0,
            (UpdateError::BaseMismatch, _) => {}
        }
        self.record_request(&update.name, update.version, now);
        let message = self.digest(vec![own_version], false, now);
        self.send(from, message);
    }

    fn record_request(&mut self, name: &ObjectName, version: ObjectVersion, now: Instant) {
        self.requested
            .insert(name.clone(), RequestedVersion { version, retry_at: now + REQUEST_TIMEOUT });
    }

    /// Reports the version held here, so that the peer need not send the document again.
    fn acknowledge(&mut self, peer: VmAddress, name: &ObjectName, now: Instant) {
        let message = self.digest(vec![self.store.held_document(name)], false, now);
        self.send(peer, message);
    }

    fn digest(
        &self,
        held: Vec<HeldDocument>,
        complete: bool,
        now: Instant,
    ) -> ConfigurationMessage {
        let silence = self.platform_answered_at.map(|at| now.saturating_duration_since(at));
        let platform_silence_ms =
            silence.map(|silence| u64::try_from(silence.as_millis()).unwrap_or(u64::MAX));
        ConfigurationMessage::Digest { held, complete, platform_silence_ms }
    }

    /// Returns the members that announce a newer bundle than this VM has adopted or refused.
    fn peers_ahead(&self) -> Vec<VmAddress> {
        let judged_version = self.store.highest_decided_version(&configuration_object());
        let ahead = self.members.members.values().filter(|member| {
            member.identity.address != self.own_address
                && member.configuration_version > judged_version
        });
        ahead.map(|member| member.identity.address).collect()
    }

    fn other_members(&self) -> impl Iterator<Item = VmAddress> + '_ {
        self.members.members.keys().copied().filter(|address| *address != self.own_address)
    }

    fn send(&mut self, to: VmAddress, message: ConfigurationMessage) {
        self.counters.messages_sent += 1;
        self.outputs.push(ConfigurationOutput::Send { to, message });
    }
}
