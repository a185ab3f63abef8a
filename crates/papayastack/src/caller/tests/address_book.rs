//! Tests of the choice of addresses, in virtual time and with a seeded random generator.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::caller::AddressesAnswer;
use crate::caller::client::address_book::{AddressBook, VmObservation};

const LIFETIME: Duration = Duration::from_secs(5);

fn vm(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

fn answer(vms: &[(u16, &str)]) -> AddressesAnswer {
    AddressesAnswer {
        addresses: vms.iter().map(|(number, _)| vm(*number)).collect(),
        data_centres: vms.iter().map(|(_, name)| (*name).to_owned()).collect(),
        lifetime_ms: 5_000,
    }
}

fn random() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

/// Four VMs, of which one may be unreachable, and a caller that sends a request every
/// `REQUEST_INTERVAL`.
struct Simulation {
    book: AddressBook,
    random: SmallRng,
    now: Instant,
    unreachable: Option<SocketAddr>,
    /// What every reachable VM answers to a refresh.
    current_answer: AddressesAnswer,
}

/// The requests and attempts of one phase of the simulation.
#[derive(Debug, Default)]
struct RequestCounts {
    requests: u32,
    attempts: u32,
    attempts_max: u32,
    answered_by: BTreeMap<SocketAddr, u32>,
}

impl Simulation {
    const REQUEST_INTERVAL: Duration = Duration::from_millis(2);
    /// How many later requests start before a request ends.
    const CONCURRENT_REQUESTS: usize = 8;

    fn new() -> Self {
        let now = Instant::now();
        let current_answer = answer(&[(1, "a"), (2, "a"), (3, "a"), (4, "a")]);
        let mut simulation = Self {
            book: AddressBook::new(vec![vm(1)], now),
            random: random(),
            now,
            unreachable: None,
            current_answer,
        };
        simulation.book.replace_addresses(&simulation.current_answer, now, &mut simulation.random);
        simulation
    }

    fn run(&mut self, phase: Duration) -> RequestCounts {
        let mut counts = RequestCounts::default();
        let mut running = std::collections::VecDeque::new();
        let end = self.now + phase;
        while self.now < end {
            if self.book.refresh_at() <= self.now {
                self.book.replace_addresses(&self.current_answer, self.now, &mut self.random);
            }
            running.push_back(self.request(&mut counts));
            if running.len() > Self::CONCURRENT_REQUESTS {
                let address = running.pop_front().unwrap();
                self.book.finish_request(
                    address,
                    &VmObservation::Alive,
                    self.now,
                    &mut self.random,
                );
            }
            self.now += Self::REQUEST_INTERVAL;
        }
        for address in running {
            self.book.finish_request(address, &VmObservation::Alive, self.now, &mut self.random);
        }
        counts
    }

    fn request(&mut self, counts: &mut RequestCounts) -> SocketAddr {
        let mut tried = BTreeSet::new();
        counts.requests += 1;
        loop {
            let address = self.book.choose(&tried, self.now, &mut self.random).unwrap();
            tried.insert(address);
            counts.attempts += 1;
            if Some(address) != self.unreachable {
                counts.attempts_max = counts.attempts_max.max(tried.len() as u32);
                *counts.answered_by.entry(address).or_default() += 1;
                return address;
            }
            self.book.finish_request(
                address,
                &VmObservation::Unreachable,
                self.now,
                &mut self.random,
            );
        }
    }
}

#[test]
fn an_unreachable_vm_of_four_wastes_at_most_one_attempt_per_hundred_requests() {
    let mut simulation = Simulation::new();
    simulation.run(LIFETIME);
    simulation.unreachable = Some(vm(2));

    // At first the answers still list the unreachable VM.
    let still_listed = simulation.run(Duration::from_secs(3));
    simulation.current_answer = answer(&[(1, "a"), (3, "a"), (4, "a")]);
    let no_longer_listed = simulation.run(LIFETIME);
    let settled = simulation.run(LIFETIME);

    assert_eq!(still_listed.attempts_max, 2, "each request is answered by the second attempt");
    let wasted = still_listed.attempts - still_listed.requests;
    assert!(wasted * 100 <= still_listed.requests, "{wasted} of {} wasted", still_listed.requests);
    assert!(no_longer_listed.attempts_max <= 2);
    assert_eq!(settled.attempts, settled.requests);
}

#[test]
fn load_is_even_again_one_lifetime_after_a_vm_returns() {
    let mut simulation = Simulation::new();
    simulation.unreachable = Some(vm(2));
    simulation.run(Duration::from_secs(1));
    simulation.current_answer = answer(&[(1, "a"), (3, "a"), (4, "a")]);
    simulation.run(LIFETIME);
    simulation.unreachable = None;
    simulation.current_answer = answer(&[(1, "a"), (2, "a"), (3, "a"), (4, "a")]);

    simulation.run(LIFETIME);
    let after = simulation.run(LIFETIME);

    for (address, count) in &after.answered_by {
        let share_percent = count * 100 / after.requests;
        assert!((20..=30).contains(&share_percent), "{address} got {share_percent}%");
    }
    assert_eq!(after.answered_by.len(), 4);
}

#[test]
fn the_nearest_data_centre_is_used_until_it_fails() {
    let now = Instant::now();
    let mut random = random();
    let mut book = AddressBook::new(vec![vm(9)], now);
    book.replace_addresses(&answer(&[(1, "a"), (2, "b"), (3, "b"), (4, "c")]), now, &mut random);

    let near = book.choose(&BTreeSet::new(), now, &mut random);
    book.finish_request(vm(1), &VmObservation::Unreachable, now, &mut random);
    let next = book.choose(&BTreeSet::new(), now, &mut random);
    let excluded = BTreeSet::from([vm(1), vm(2), vm(3), vm(4)]);
    let entry = book.choose(&excluded, now, &mut random);

    assert_eq!(near, Some(vm(1)));
    assert!(next == Some(vm(2)) || next == Some(vm(3)));
    assert_eq!(entry, Some(vm(9)));
}

#[test]
fn a_vm_that_failed_is_tried_by_one_request_at_a_time() {
    let now = Instant::now();
    let mut random = random();
    let mut book = AddressBook::new(vec![], now);
    book.replace_addresses(&answer(&[(1, "a"), (2, "b")]), now, &mut random);
    book.choose(&BTreeSet::new(), now, &mut random);
    book.finish_request(vm(1), &VmObservation::Unreachable, now, &mut random);
    let later = now + Duration::from_secs(1);

    let first = book.choose(&BTreeSet::new(), later, &mut random);
    let second = book.choose(&BTreeSet::new(), later, &mut random);
    book.finish_request(vm(1), &VmObservation::Alive, later, &mut random);
    let third = book.choose(&BTreeSet::new(), later, &mut random);

    assert_eq!((first, second, third), (Some(vm(1)), Some(vm(2)), Some(vm(1))));
}

#[test]
fn a_busy_vm_is_avoided_until_its_retry_after_has_passed() {
    let now = Instant::now();
    let mut random = random();
    let mut book = AddressBook::new(vec![], now);
    book.replace_addresses(&answer(&[(1, "a"), (2, "b")]), now, &mut random);
    book.choose(&BTreeSet::new(), now, &mut random);
    let busy = VmObservation::Busy { retry_after: Duration::from_secs(1) };

    book.finish_request(vm(1), &busy, now, &mut random);
    let early = book.choose(&BTreeSet::new(), now + Duration::from_millis(999), &mut random);
    let late = book.choose(&BTreeSet::new(), now + Duration::from_millis(1_251), &mut random);

    assert_eq!((early, late), (Some(vm(2)), Some(vm(1))));
}

#[test]
fn excessive_durations_from_a_vm_are_capped() {
    let now = Instant::now();
    let mut random = random();
    let mut book = AddressBook::new(vec![], now);
    let long_lived = AddressesAnswer { lifetime_ms: u64::MAX, ..answer(&[(1, "a")]) };

    book.replace_addresses(&long_lived, now, &mut random);
    let busy = VmObservation::Busy { retry_after: Duration::MAX };
    book.finish_request(vm(1), &busy, now, &mut random);

    assert!(book.refresh_at() <= now + Duration::from_secs(3600));
}

#[test]
fn a_failure_makes_a_refresh_due_once() {
    let now = Instant::now();
    let mut random = random();
    let mut book = AddressBook::new(vec![], now);
    book.replace_addresses(&answer(&[(1, "a"), (2, "a")]), now, &mut random);

    let first = book.finish_request(vm(1), &VmObservation::Unreachable, now, &mut random);
    let again = book.finish_request(vm(1), &VmObservation::Unreachable, now, &mut random);

    assert!(first && !again);
    assert!(book.refresh_at() <= now);
}
