//! Anti-entropy: comparison of whole peer tables by digests, which repairs what gossip missed.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;
use twox_hash::XxHash3_64;

use crate::cbor::encode;
use crate::ids::VmAddress;
use crate::membership::VmIdentity;
use crate::membership::message::{Purpose, Record, Update};

use super::MembershipProtocol;
use super::peers::{Peer, address_hash};
use super::sending::GOSSIP_MAX_BYTES;

/// The time between two comparisons after a peer has become known; it doubles after each one.
pub(super) const ANTI_ENTROPY_INTERVAL_MIN: Duration = Duration::from_millis(100);

const ANTI_ENTROPY_INTERVAL_MAX: Duration = Duration::from_secs(10);
const MEMBERS_PER_BUCKET: usize = 16;
const BUCKETS_MAX: usize = 128;
const PAGES_PER_ANSWER: usize = 4;

impl MembershipProtocol {
    /// Sends digests to a random peer of the own region, or of any region if there is none; the
    /// interval grows while no new peer becomes known.
    pub(super) fn start_anti_entropy(&mut self, now: Instant) {
        if now < self.anti_entropy_at {
            return;
        }
        let jitter = self.random.random_range(0.75..1.25);
        self.anti_entropy_at = now + self.anti_entropy_interval.mul_f64(jitter);
        self.anti_entropy_interval =
            (self.anti_entropy_interval * 2).min(ANTI_ENTROPY_INTERVAL_MAX);
        let region_peer = self.peers.region_peers().choose(&mut self.random).copied();
        let receiver = region_peer.or_else(|| self.random_live_peer());
        if let Some(receiver) = receiver {
            self.send_digests(receiver, true);
        }
    }

    /// Brings the next comparison forward, since a peer has just become known.
    pub(super) fn hasten_anti_entropy(&mut self) {
        self.anti_entropy_interval = ANTI_ENTROPY_INTERVAL_MIN;
        self.anti_entropy_at = self.anti_entropy_at.min(self.ticked_at + ANTI_ENTROPY_INTERVAL_MIN);
    }

    pub(super) fn send_digests(&mut self, receiver: VmAddress, mutual: bool) {
        let buckets = (self.members_count() / MEMBERS_PER_BUCKET).next_power_of_two();
        let digests = self.digests(buckets.min(BUCKETS_MAX));
        self.send(receiver, Purpose::CompareDigests { digests, mutual }, Vec::new());
    }

    /// Sends the records of the buckets whose digests differ, in a limited number of datagrams.
    pub(super) fn answer_digests(
        &mut self,
        sender: &VmIdentity,
        digests: &[u32],
        mutual: bool,
        now: Instant,
    ) {
        let buckets = digests.len();
        if !buckets.is_power_of_two() || buckets > BUCKETS_MAX {
            return;
        }
        let own = self.digests(buckets);
        let mut differing_buckets: Vec<usize> =
            (0..buckets).filter(|bucket| own[*bucket] != digests[*bucket]).collect();
        if differing_buckets.is_empty() {
            return;
        }
        let start = self.random.random_range(0..differing_buckets.len());
        differing_buckets.rotate_left(start);
        for page in self.pages(buckets, &differing_buckets) {
            if !self.budget.spend(GOSSIP_MAX_BYTES, now) {
                return;
            }
            self.send_to_process(sender, Purpose::Gossip, page);
        }
        if mutual {
            self.send_digests(sender.address, false);
        }
    }

    fn random_live_peer(&mut self) -> Option<VmAddress> {
        let live: Vec<VmAddress> = self
            .peers
            .iter()
            .filter(|peer| !peer.is_dead())
            .map(|peer| peer.record.identity.address)
            .collect();
        live.choose(&mut self.random).copied()
    }

    /// Computes the digest of each bucket of members; dead peers are left out, since VMs
    /// remove them at different times.
    fn digests(&self, buckets: usize) -> Vec<u32> {
        let mut digests = vec![0; buckets];
        for peer in self.peers.iter().filter(|peer| !peer.is_dead()) {
            digests[bucket_of(peer.address_hash, buckets)] ^= record_digest(&peer.record);
        }
        digests[bucket_of(self.own_hash(), buckets)] ^= record_digest(&self.own_record);
        digests
    }

    fn own_hash(&self) -> u64 {
        address_hash(self.own_record.identity.address)
    }

    fn pages(&self, buckets: usize, differing_buckets: &[usize]) -> Vec<Vec<Update>> {
        let mut pages = vec![Vec::new()];
        let mut page_bytes = 0;
        for bucket in differing_buckets {
            for update in self.updates_in(*bucket, buckets) {
                let update_bytes = encode(&update).len();
                if page_bytes + update_bytes > GOSSIP_MAX_BYTES {
                    if pages.len() == PAGES_PER_ANSWER {
                        return pages;
                    }
                    pages.push(Vec::new());
                    page_bytes = 0;
                }
                page_bytes += update_bytes;
                if let Some(page) = pages.last_mut() {
                    page.push(update);
                }
            }
        }
        pages
    }

    fn updates_in(&self, bucket: usize, buckets: usize) -> Vec<Update> {
        let own = (bucket_of(self.own_hash(), buckets) == bucket)
            .then(|| Update::Record(self.own_record.clone()));
        let inside = |peer: &&Peer| bucket_of(peer.address_hash, buckets) == bucket;
        let peers = self.peers.iter().filter(inside).map(latest_update);
        own.into_iter().chain(peers).collect()
    }
}

/// Returns the claim that a peer is dead, or else the peer's record.
fn latest_update(peer: &Peer) -> Update {
    match peer.claim() {
        Some(claim) if claim.dead => Update::Claim(claim),
        Some(_) | None => Update::Record(peer.record.clone()),
    }
}

fn bucket_of(address_hash: u64, buckets: usize) -> usize {
    address_hash as usize & (buckets - 1)
}

fn record_digest(record: &Record) -> u32 {
    let VmIdentity { address, incarnation } = &record.identity;
    let text =
        format!("{address} {incarnation} {} {}", record.sequence, record.configuration_version);
    XxHash3_64::oneshot(text.as_bytes()) as u32
}
