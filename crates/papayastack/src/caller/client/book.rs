//! The addresses that a caller knows, and which of them its next request uses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayastack_macros::value;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::caller::protocol::AddressesAnswer;

const AVOID_INITIAL: Duration = Duration::from_millis(100);
const AVOID_MAX: Duration = Duration::from_secs(2);
const REFRESH_SHARE_PERCENT: std::ops::RangeInclusive<u32> = 60..=90;
const REFRESH_RETRY: Duration = Duration::from_millis(100);
const JITTER_PERCENT_MAX: u32 = 25;
/// Bounds what a VM can make a caller wait or remember.
const LIFETIME_MAX: Duration = Duration::from_secs(3600);
const BUSY_MAX: Duration = Duration::from_secs(60);

/// What a request says about the VM that it was sent to.
#[value]
pub(crate) enum Sign {
    /// The VM answered.
    Alive,
    /// The VM does not answer.
    Dead,
    /// The VM wants no more requests for a while.
    Busy {
        /// When to come back.
        retry_after: Duration,
    },
    /// The VM takes no more requests.
    Leaving,
    /// The request was given up.
    Unknown,
}

/// The addresses of the system as one caller knows them.
#[derive(Debug)]
pub(crate) struct AddressBook {
    seeds: Vec<SocketAddr>,
    tiers: Vec<Vec<SocketAddr>>,
    states: BTreeMap<SocketAddr, AddressState>,
    refresh_at: Instant,
}

#[derive(Debug, Default)]
struct AddressState {
    in_flight: usize,
    failures: u32,
    avoid_until: Option<Instant>,
}

impl AddressBook {
    /// Starts with the entry addresses; a refresh is due at once.
    pub(crate) fn new(seeds: Vec<SocketAddr>, now: Instant) -> Self {
        Self { seeds, tiers: Vec::new(), states: BTreeMap::new(), refresh_at: now }
    }

    /// Takes an answer; the first data centre in it is preferred, then the next.
    pub(crate) fn adopt(&mut self, answer: &AddressesAnswer, now: Instant, random: &mut impl Rng) {
        let mut tiers: Vec<Vec<SocketAddr>> = Vec::new();
        let mut previous = None;
        let mut known = BTreeSet::new();
        for (index, address) in answer.addresses.iter().enumerate() {
            let data_centre = answer.data_centres.get(index);
            if !known.insert(*address) {
                continue;
            }
            match tiers.last_mut() {
                Some(tier) if previous == Some(data_centre) => tier.push(*address),
                Some(_) | None => tiers.push(vec![*address]),
            }
            previous = Some(data_centre);
        }
        self.states.retain(|address, state| known.contains(address) || state.in_flight > 0);
        self.tiers = tiers;
        let lifetime = Duration::from_millis(answer.lifetime_ms).min(LIFETIME_MAX);
        let share_percent = random.random_range(REFRESH_SHARE_PERCENT);
        self.refresh_at = now + lifetime * share_percent / 100;
    }

    /// Returns when the addresses are to be asked for again.
    pub(crate) fn refresh_at(&self) -> Instant {
        self.refresh_at
    }

    /// Asks for a refresh soon because no VM answered the last one.
    pub(crate) fn refresh_failed(&mut self, now: Instant, random: &mut impl Rng) {
        self.refresh_at = now + jittered(REFRESH_RETRY, random);
    }

    /// Returns the addresses to ask for a refresh, in a random order, the doubtful ones last.
    pub(crate) fn refresh_order(&self, now: Instant, random: &mut impl Rng) -> Vec<SocketAddr> {
        let mut known: Vec<SocketAddr> = self.tiers.iter().flatten().copied().collect();
        known.shuffle(random);
        known.sort_by_key(|address| self.is_avoided(address, now));
        let seeds = self.seeds.iter().filter(|seed| !known.contains(seed)).copied();
        let seeds: Vec<SocketAddr> = seeds.collect();
        known.extend(seeds);
        known
    }

    /// Chooses the address of a request and counts it there; `None` where all are excluded.
    ///
    /// Among the VMs of the nearest data centre it takes the less busy of two drawn at random. One
    /// that failed lately is used where no other is left, else by one request at a time once its
    /// pause is over.
    pub(crate) fn choose(
        &mut self,
        excluded: &BTreeSet<SocketAddr>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let address = self
            .tiers
            .iter()
            .find_map(|tier| self.choose_usable(tier, excluded, now, random))
            .or_else(|| self.choose_doubtful(excluded))?;
        self.states.entry(address).or_default().in_flight += 1;
        Some(address)
    }

    /// Tells whether an address is left besides `excluded`.
    pub(crate) fn has_other(&self, excluded: &BTreeSet<SocketAddr>) -> bool {
        self.choose_doubtful(excluded).is_some()
    }

    /// Takes the end of a request at `address`; whether the addresses should be refreshed early.
    pub(crate) fn finished(
        &mut self,
        address: SocketAddr,
        sign: &Sign,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        let state = self.states.entry(address).or_default();
        state.in_flight = state.in_flight.saturating_sub(1);
        match sign {
            Sign::Alive => {
                state.failures = 0;
                state.avoid_until = None;
                false
            }
            Sign::Unknown => false,
            Sign::Busy { retry_after } => {
                let pause = (*retry_after).min(BUSY_MAX);
                state.avoid_until = Some(now + jittered(pause, random));
                false
            }
            Sign::Dead | Sign::Leaving => {
                let already_avoided = state.avoid_until.is_some_and(|until| until > now);
                if !already_avoided {
                    let pause = AVOID_INITIAL.saturating_mul(1 << state.failures.min(10));
                    state.avoid_until = Some(now + jittered(pause.min(AVOID_MAX), random));
                    state.failures += 1;
                    self.refresh_at = self.refresh_at.min(now);
                }
                !already_avoided
            }
        }
    }

    fn choose_usable(
        &self,
        tier: &[SocketAddr],
        excluded: &BTreeSet<SocketAddr>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let usable = tier
            .iter()
            .copied()
            .filter(|address| !excluded.contains(address) && self.is_usable(address, now));
        let drawn = usable.choose_multiple(random, 2);
        drawn.into_iter().min_by_key(|address| self.in_flight(address))
    }

    fn choose_doubtful(&self, excluded: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        let known = self.tiers.iter().flatten().chain(&self.seeds).copied();
        let left = known.filter(|address| !excluded.contains(address));
        left.min_by_key(|address| self.states.get(address).and_then(|state| state.avoid_until))
    }

    fn is_usable(&self, address: &SocketAddr, now: Instant) -> bool {
        let Some(state) = self.states.get(address) else { return true };
        match state.avoid_until {
            None => true,
            Some(until) => until <= now && state.in_flight == 0,
        }
    }

    fn is_avoided(&self, address: &SocketAddr, now: Instant) -> bool {
        self.states
            .get(address)
            .and_then(|state| state.avoid_until)
            .is_some_and(|until| until > now)
    }

    fn in_flight(&self, address: &SocketAddr) -> usize {
        self.states.get(address).map_or(0, |state| state.in_flight)
    }
}

/// Lengthens a pause by a random part, so that callers do not come back together.
pub(crate) fn jittered(pause: Duration, random: &mut impl Rng) -> Duration {
    pause.saturating_mul(100 + random.random_range(0..=JITTER_PERCENT_MAX)) / 100
}
