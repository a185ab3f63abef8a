//! The addresses that a caller knows, and the choice of one for each request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayastack_macros::value;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::caller::protocol::AddressesAnswer;

/// How long an address is avoided after its first failure; doubled for each further one.
const AVOID_INITIAL: Duration = Duration::from_millis(100);
const AVOID_MAX: Duration = Duration::from_secs(2);
/// The part of an answer's lifetime after which the addresses are refreshed, drawn at random.
const REFRESH_SHARE_PERCENT: std::ops::RangeInclusive<u32> = 60..=90;
/// The pause after a refresh that no VM answered.
const REFRESH_RETRY_PAUSE: Duration = Duration::from_millis(100);
const JITTER_PERCENT_MAX: u32 = 25;
/// The longest time that an answer is kept, even if the VM names a longer lifetime.
const LIFETIME_MAX: Duration = Duration::from_secs(3600);
/// The longest pause before a busy VM is used again, even if the VM names a longer one.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// The state of a VM, as observed from the end of a request to it.
#[value]
pub(crate) enum VmObservation {
    /// The VM answered.
    Alive,
    /// The VM could not be reached, or stopped answering before the deadline.
    Unreachable,
    /// The VM refused the request because it is overloaded or not ready.
    Busy {
        /// How long to wait before the next request.
        retry_after: Duration,
    },
    /// The VM is shutting down and takes no more requests.
    Leaving,
    /// The request was cancelled or ran into its deadline, which proves nothing about the VM.
    Unknown,
}

/// The addresses of the system's VMs as one caller knows them.
#[derive(Debug)]
pub(crate) struct AddressBook {
    entry_addresses: Vec<SocketAddr>,
    /// The addresses by data centre, the preferred data centre first.
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
    /// Creates a book that knows only the entry addresses; a refresh is due at once.
    pub(crate) fn new(entry_addresses: Vec<SocketAddr>, now: Instant) -> Self {
        Self { entry_addresses, tiers: Vec::new(), states: BTreeMap::new(), refresh_at: now }
    }

    /// Replaces the known addresses by those of `answer`, which lists the preferred data centre
    /// first.
    pub(crate) fn replace_addresses(
        &mut self,
        answer: &AddressesAnswer,
        now: Instant,
        random: &mut impl Rng,
    ) {
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

    pub(crate) fn refresh_at(&self) -> Instant {
        self.refresh_at
    }

    /// Schedules another refresh after a short pause because no VM answered the last one.
    pub(crate) fn refresh_failed(&mut self, now: Instant, random: &mut impl Rng) {
        self.refresh_at = now + jittered(REFRESH_RETRY_PAUSE, random);
    }

    /// Returns the addresses to ask for a refresh: the known ones in random order, those that are
    /// being avoided after the others, and the entry addresses last.
    pub(crate) fn refresh_order(&self, now: Instant, random: &mut impl Rng) -> Vec<SocketAddr> {
        let mut known: Vec<SocketAddr> = self.tiers.iter().flatten().copied().collect();
        known.shuffle(random);
        known.sort_by_key(|address| self.is_avoided(address, now));
        let unlisted = self.entry_addresses.iter().filter(|entry| !known.contains(entry)).copied();
        let unlisted: Vec<SocketAddr> = unlisted.collect();
        known.extend(unlisted);
        known
    }

    /// Chooses the address of a request and counts the request there; `None` if all are excluded.
    ///
    /// Of two VMs drawn at random from the nearest data centre, the one with fewer requests in
    /// flight is chosen. A VM that failed recently gets one request at a time once its pause is
    /// over; before that, only if no other is left.
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
            .or_else(|| self.choose_fallback(excluded))?;
        self.states.entry(address).or_default().in_flight += 1;
        Some(address)
    }

    /// Returns whether an address besides `excluded` is known.
    pub(crate) fn has_other(&self, excluded: &BTreeSet<SocketAddr>) -> bool {
        self.choose_fallback(excluded).is_some()
    }

    /// Records the end of a request to `address`; returns whether to refresh the addresses early.
    pub(crate) fn finish_request(
        &mut self,
        address: SocketAddr,
        observation: &VmObservation,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        let state = self.states.entry(address).or_default();
        state.in_flight = state.in_flight.saturating_sub(1);
        match observation {
            VmObservation::Alive => {
                state.failures = 0;
                state.avoid_until = None;
                false
            }
            VmObservation::Unknown => false,
            VmObservation::Busy { retry_after } => {
                let pause = (*retry_after).min(RETRY_AFTER_MAX);
                state.avoid_until = Some(now + jittered(pause, random));
                false
            }
            VmObservation::Unreachable | VmObservation::Leaving => {
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

    fn choose_fallback(&self, excluded: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        let known = self.tiers.iter().flatten().chain(&self.entry_addresses).copied();
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

/// Lengthens a pause by a random part, so that callers do not retry at the same moment.
pub(crate) fn jittered(pause: Duration, random: &mut impl Rng) -> Duration {
    pause.saturating_mul(100 + random.random_range(0..=JITTER_PERCENT_MAX)) / 100
}
