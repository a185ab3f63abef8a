//! Failure detection: a direct probe, then indirect probes through other VMs, then a suspicion.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::VmAddress;
use crate::membership::VmIdentity;
use crate::membership::message::{ProbeNumber, Purpose};

use super::MembershipProtocol;

const PROBES_PER_INTERVAL: usize = 2;
const SUSPECTS_PER_INTERVAL: usize = 2;
const RELAYED_PROBES_MAX: usize = 256;

/// The probes whose acknowledgements this VM awaits.
#[derive(Debug)]
pub(super) struct Probes {
    last_number: ProbeNumber,
    next_at: Instant,
    pending: BTreeMap<ProbeNumber, PendingProbe>,
    relayed: BTreeMap<ProbeNumber, RelayedProbe>,
}

/// A probe that this VM started itself.
#[derive(Debug)]
struct PendingProbe {
    target: VmIdentity,
    /// When the probe times out: indirect probes follow or, if `indirect`, a suspicion.
    due_at: Instant,
    indirect: bool,
}

/// A probe that this VM relays for another one.
#[derive(Debug)]
struct RelayedProbe {
    requester: VmIdentity,
    number: ProbeNumber,
    target: VmAddress,
    expires_at: Instant,
}

impl Probes {
    pub(super) fn new(now: Instant) -> Self {
        Self { last_number: 0, next_at: now, pending: BTreeMap::new(), relayed: BTreeMap::new() }
    }

    pub(super) fn next_number(&mut self) -> ProbeNumber {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    pub(super) fn clear_pending(&mut self) {
        self.pending.clear();
    }
}

impl MembershipProtocol {
    /// Probes the next peers of the rotation, and some suspects so that they learn of the claim and
    /// refute it.
    pub(super) fn start_probes(&mut self, now: Instant) {
        if now < self.probes.next_at {
            return;
        }
        self.probes.next_at = now + Duration::from_millis(self.settings.probe_interval_ms);
        let suspects: Vec<VmAddress> =
            self.peers.suspects().iter().take(SUSPECTS_PER_INTERVAL).copied().collect();
        for suspect in suspects {
            self.send_probe(suspect);
        }
        let distinct = self.peers.region_peers().len().min(PROBES_PER_INTERVAL);
        for _ in 0..distinct {
            let Some(target) = self.peers.next_probe_target(&mut self.random) else { return };
            self.start_probe(target, now);
        }
    }

    /// Sends indirect probes after an unanswered direct one, and suspects the target if these fail.
    pub(super) fn expire_probes(&mut self, now: Instant) {
        self.probes.relayed.retain(|_, relayed| relayed.expires_at > now);
        let due = self.probes.pending.iter().filter(|(_, probe)| probe.due_at <= now);
        let due: Vec<ProbeNumber> = due.map(|(number, _)| *number).collect();
        for number in due {
            let Some(probe) = self.probes.pending.remove(&number) else { continue };
            if probe.indirect {
                self.suspect(&probe.target, now);
            } else {
                self.send_indirect_probes(number, probe.target, now);
            }
        }
    }

    /// Probes `target` on behalf of `requester`.
    pub(super) fn relay_probe(
        &mut self,
        requester: &VmIdentity,
        number: ProbeNumber,
        target: VmAddress,
        now: Instant,
    ) {
        if self.probes.relayed.len() >= RELAYED_PROBES_MAX || !self.peers.is_live(target) {
            return;
        }
        let own_number = self.send_probe(target);
        let expires_at = now + 2 * self.probe_timeout();
        let relayed = RelayedProbe { requester: requester.clone(), number, target, expires_at };
        self.probes.relayed.insert(own_number, relayed);
    }

    pub(super) fn on_acknowledgement(&mut self, sender: &VmIdentity, number: ProbeNumber) {
        if let Some(relayed) = self.probes.relayed.get(&number) {
            if relayed.target == sender.address {
                let (requester, number) = (relayed.requester.clone(), relayed.number);
                self.send_to_process(&requester, Purpose::Acknowledge(number), Vec::new());
            }
            return;
        }
        self.probes.pending.remove(&number);
    }

    fn start_probe(&mut self, target: VmAddress, now: Instant) {
        let Some(identity) = self.peers.get(target).map(|peer| peer.record.identity.clone()) else {
            return;
        };
        let number = self.send_probe(target);
        let due_at = now + self.probe_timeout();
        let probe = PendingProbe { target: identity, due_at, indirect: false };
        self.probes.pending.insert(number, probe);
    }

    fn send_indirect_probes(&mut self, number: ProbeNumber, target: VmIdentity, now: Instant) {
        let count = self.settings.indirect_probes as usize;
        let relays = self.peers.choose(count, Some(target.address), &mut self.random);
        for relay in relays {
            self.send(relay, Purpose::IndirectProbe(number, target.address), Vec::new());
        }
        let due_at = now + self.probe_timeout();
        self.probes.pending.insert(number, PendingProbe { target, due_at, indirect: true });
    }

    fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.probe_timeout_ms)
    }
}
