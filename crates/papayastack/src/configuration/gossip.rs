//! The part of [`ConfigurationMachine`] that deals with peers.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use super::document::{UpdateError, resolve_update};
use super::machine::{Asked, ConfigurationMachine, ConfigurationOutput};
use super::message::{ConfigurationMessage, DocumentContent, DocumentUpdate, HeldDocument};
use super::store::configuration_object;
use super::watching::jittered;
use crate::ids::VmAddress;
use crate::platform::{ObjectName, ObjectVersion};

/// Peers that a VM tells of a version that it has adopted.
const FAN_OUT: usize = 6;
/// The largest update that is sent before the peer asks for it, in bytes.
const UNASKED_MAX_BYTES: usize = 8 * 1024;
/// The mean time between two digests to random peers.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// The mean time between two digests while nothing is in force.
const FIRST_DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// How long a peer that was asked for a document may take before another is asked.
const ASK_WAIT: Duration = Duration::from_millis(500);

impl ConfigurationMachine {
    /// Sends a digest to one peer where it is time for it.
    pub(super) fn send_digest(&mut self, now: Instant) {
        if now < self.digest_at {
            return;
        }
        let empty = self.in_force().is_none();
        let interval = if empty { FIRST_DIGEST_INTERVAL } else { DIGEST_INTERVAL };
        self.digest_at = now + interval / 2 + jittered(interval, &mut self.random);
        let mut candidates = self.peers_ahead();
        if candidates.is_empty() {
            candidates = self.others().collect();
        }
        let Some(peer) = candidates.choose(&mut self.random).copied() else { return };
        let message = self.digest(self.store.held_documents(), true, now);
        self.send(peer, message);
    }

    /// Tells some peers of the version of `name` that was just adopted.
    pub(super) fn spread(&mut self, name: &ObjectName, from: Option<VmAddress>, now: Instant) {
        let version = self.store.version(name);
        let lacking = self
            .others()
            .filter(|peer| Some(*peer) != from)
            .filter(|peer| self.peers.version(*peer, name, &self.members) < Some(version));
        let lacking: Vec<VmAddress> = lacking.collect();
        let told = lacking.choose_multiple(&mut self.random, FAN_OUT);
        let told: Vec<VmAddress> = told.copied().collect();
        for peer in told {
            let known = self.peers.version(peer, name, &self.members);
            self.tell(peer, name, known, now);
        }
    }

    /// Takes what a peer says that it holds.
    pub(super) fn on_digest(
        &mut self,
        from: VmAddress,
        held: &[HeldDocument],
        complete: bool,
        now: Instant,
    ) {
        for document in held {
            self.peers.confirm(from, document, &self.members);
        }
        // The bundle comes first, because it decides which catalogues the peer needs.
        for name in self.store.needed_documents().into_iter().rev() {
            let theirs = held.iter().find(|document| document.name == name);
            let (version, judged_version) = match theirs {
                Some(theirs) => (theirs.version, theirs.judged_version),
                None if complete => (0, 0),
                None => continue,
            };
            if self.store.version(&name) <= judged_version {
                continue;
            }
            if complete {
                self.tell(from, &name, Some(version), now);
            } else {
                self.answer(from, &name, version);
            }
        }
        let lacking = held.iter().filter(|theirs| self.lacks(theirs, now));
        let lacking: Vec<HeldDocument> = lacking.cloned().collect();
        self.ask(from, &lacking, now);
    }

    /// Takes a newer version of a document from a peer.
    pub(super) fn on_update(&mut self, from: VmAddress, update: DocumentUpdate, now: Instant) {
        let (name, version) = (update.name.clone(), update.version);
        let theirs = HeldDocument { name: name.clone(), version, judged_version: version };
        self.peers.confirm(from, &theirs, &self.members);
        if !self.store.needs(&name) {
            return;
        }
        if version <= self.store.judged_version(&name) {
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
            Err(error) => self.on_unusable(from, &update, &error, now),
        }
    }

    /// Takes a peer's word on how long the platform has been silent.
    pub(super) fn hear_platform(&mut self, silence_ms: Option<u64>, now: Instant) {
        let heard_at = silence_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        self.platform_heard_at = self.platform_heard_at.max(heard_at);
    }

    /// Sends a small update at once and announces a large one, so that a peer that several VMs
    /// tell receives it once.
    fn tell(
        &mut self,
        peer: VmAddress,
        name: &ObjectName,
        known: Option<ObjectVersion>,
        now: Instant,
    ) {
        let Some(document) = self.store.document(name) else { return };
        // A peer of unknown version most likely holds the one before, and asks where it does not.
        let base = known.or(document.previous_version());
        let message = if document.update_size_bytes(base) <= UNASKED_MAX_BYTES {
            ConfigurationMessage::Update(document.update_since(name, base))
        } else {
            self.digest(vec![self.store.held_document(name)], false, now)
        };
        self.send(peer, message);
    }

    fn answer(&mut self, peer: VmAddress, name: &ObjectName, base: ObjectVersion) {
        let Some(document) = self.store.document(name) else { return };
        let update = document.update_since(name, Some(base));
        self.send(peer, ConfigurationMessage::Update(update));
    }

    fn lacks(&self, theirs: &HeldDocument, now: Instant) -> bool {
        let newer = self.store.needs(&theirs.name)
            && theirs.version > self.store.judged_version(&theirs.name);
        let asked = self.asked.get(&theirs.name);
        newer && asked.is_none_or(|asked| asked.version < theirs.version || asked.until <= now)
    }

    fn ask(&mut self, peer: VmAddress, lacking: &[HeldDocument], now: Instant) {
        if lacking.is_empty() {
            return;
        }
        for theirs in lacking {
            self.note_asked(&theirs.name, theirs.version, now);
        }
        let own = lacking.iter().map(|theirs| self.store.held_document(&theirs.name)).collect();
        let message = self.digest(own, false, now);
        self.send(peer, message);
    }

    fn on_unusable(
        &mut self,
        from: VmAddress,
        update: &DocumentUpdate,
        error: &UpdateError,
        now: Instant,
    ) {
        self.counters.updates_unusable += 1;
        let mut own = self.store.held_document(&update.name);
        match (error, &update.content) {
            (UpdateError::Corrupt, DocumentContent::Whole(_)) => return,
            // Naming no version to build on asks for the whole document.
            (UpdateError::Corrupt, DocumentContent::Difference { .. }) => own.version = 0,
            (UpdateError::BaseMismatch, _) => {}
        }
        self.note_asked(&update.name, update.version, now);
        let message = self.digest(vec![own], false, now);
        self.send(from, message);
    }

    fn note_asked(&mut self, name: &ObjectName, version: ObjectVersion, now: Instant) {
        self.asked.insert(name.clone(), Asked { version, until: now + ASK_WAIT });
    }

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
        let silence = self.platform_heard_at.map(|at| now.saturating_duration_since(at));
        let platform_silence_ms =
            silence.map(|silence| u64::try_from(silence.as_millis()).unwrap_or(u64::MAX));
        ConfigurationMessage::Digest { held, complete, platform_silence_ms }
    }

    /// Returns the members that announce a newer bundle than this VM has adopted or refused.
    fn peers_ahead(&self) -> Vec<VmAddress> {
        let judged_version = self.store.judged_version(&configuration_object());
        let ahead = self.members.members.values().filter(|member| {
            member.identity.address != self.own && member.configuration_version > judged_version
        });
        ahead.map(|member| member.identity.address).collect()
    }

    fn others(&self) -> impl Iterator<Item = VmAddress> + '_ {
        self.members.members.keys().copied().filter(|address| *address != self.own)
    }

    fn send(&mut self, to: VmAddress, message: ConfigurationMessage) {
        self.counters.messages_sent += 1;
        self.outputs.push(ConfigurationOutput::Send { to, message });
    }
}
