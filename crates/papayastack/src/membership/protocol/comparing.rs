//! Comparison of whole tables by digests, which repairs what the spreading of news missed.

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
use super::sending::SPREAD_MAX_BYTES;

/// The time between two comparisons while there is much to learn.
pub(super) const COMPARE_INTERVAL_MIN: Duration = Duration::from_millis(100);

const COMPARE_INTERVAL_MAX: Duration = Duration::from_secs(10);
const MEMBERS_PER_BUCKET: usize = 16;
const BUCKETS_MAX: usize = 128;
const PAGES_PER_ANSWER: usize = 4;

impl MembershipProtocol {
    /// Compares with a random neighbour; often while that brings news, else seldom.
    pub(super) fn compare_with_somebody(&mut self, now: Instant) {
        if now < self.compare_at {
            return;
        }
        let jitter = self.random.random_range(0.75..1.25);
        self.compare_at = now + self.compare_interval.mul_f64(jitter);
        self.compare_interval = (self.compare_interval * 2).min(COMPARE_INTERVAL_MAX);
        let neighbour = self.peers.neighbours().choose(&mut self.random).copied();
        let receiver = neighbour.or_else(|| self.any_live_peer());
        if let Some(receiver) = receiver {
            self.send_comparison(receiver, true);
        }
    }

    /// Lets the next comparison come soon, since a peer has just become known.
    pub(super) fn hasten_comparison(&mut self) {
        self.compare_interval = COMPARE_INTERVAL_MIN;
        self.compare_at = self.compare_at.min(self.ticked_at + COMPARE_INTERVAL_MIN);
    }

    pub(super) fn send_comparison(&mut self, receiver: VmAddress, mutual: bool) {
        let buckets = (self.members_count() / MEMBERS_PER_BUCKET).next_power_of_two();
        let digests = self.digests(buckets.min(BUCKETS_MAX));
        self.send(receiver, Purpose::Compare { digests, mutual }, Vec::new());
    }

    /// Sends what this VM knows in the buckets that differ, a few datagrams at most.
    pub(super) fn answer_comparison(
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
        let mut differing: Vec<usize> =
            (0..buckets).filter(|bucket| own[*bucket] != digests[*bucket]).collect();
        if differing.is_empty() {
            return;
        }
        let start = self.random.random_range(0..differing.len());
        differing.rotate_left(start);
        for page in self.pages(buckets, &differing) {
            if !self.budget.spend(SPREAD_MAX_BYTES, now) {
                return;
            }
            self.send_to(sender, Purpose::Spread, page);
        }
        if mutual {
            self.send_comparison(sender.address, false);
        }
    }

    fn any_live_peer(&mut self) -> Option<VmAddress> {
        let live: Vec<VmAddress> = self
            .peers
            .iter()
            .filter(|peer| !peer.is_dead())
            .map(|peer| peer.record.identity.address)
            .collect();
        live.choose(&mut self.random).copied()
    }

    /// Digests the live members; the dead are left out, since each VM forgets them on its own.
    fn digests(&self, buckets: usize) -> Vec<u32> {
        let mut digests = vec![0; buckets];
        for peer in self.peers.iter().filter(|peer| !peer.is_dead()) {
            digests[bucket_of(peer.address_hash, buckets)] ^= record_digest(&peer.record);
        }
        digests[bucket_of(self.own_hash(), buckets)] ^= record_digest(&self.own);
        digests
    }

    fn own_hash(&self) -> u64 {
        address_hash(self.own.identity.address)
    }

    fn pages(&self, buckets: usize, differing: &[usize]) -> Vec<Vec<Update>> {
        let mut pages = vec![Vec::new()];
        let mut page_bytes = 0;
        for bucket in differing {
            for update in self.updates_in(*bucket, buckets) {
                let update_bytes = encode(&update).len();
                if page_bytes + update_bytes > SPREAD_MAX_BYTES {
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
            .then(|| Update::Record(self.own.clone()));
        let inside = |peer: &&Peer| bucket_of(peer.address_hash, buckets) == bucket;
        let peers = self.peers.iter().filter(inside).map(known_update);
        own.into_iter().chain(peers).collect()
    }
}

/// Tells what is known of a peer: its death, or else its own statement.
fn known_update(peer: &Peer) -> Update {
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
