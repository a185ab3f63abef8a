//! Tests of the choice of addresses, in virtual time and with seeds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::caller::AddressesAnswer;
use crate::caller::client::book::{AddressBook, Sign};

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

/// Four VMs, a caller that sends a request every `SPACING`, and a VM that is away for a while.
struct Place {
    book: AddressBook,
    random: SmallRng,
    now: Instant,
    away: Option<SocketAddr>,
    /// What the system answers when it is asked for addresses.
    listed: AddressesAnswer,
}

/// What became of the requests of one phase.
#[derive(Debug, Default)]
struct Tally {
    requests: u32,
    attempts: u32,
    attempts_max: u32,
    answered_by: BTreeMap<SocketAddr, u32>,
}

impl Place {
    const SPACING: Duration = Duration::from_millis(2);
    /// How long a request takes, as a number of later requests that start meanwhile.
    const OVERLAP: usize = 8;

    fn new() -> Self {
        let now = Instant::now();
        let listed = answer(&[(1, "a"), (2, "a"), (3, "a"), (4, "a")]);
        let mut place = Self {
            book: AddressBook::new(vec![vm(1)], now),
            random: random(),
            now,
            away: None,
            listed,
        };
        place.book.adopt(&place.listed, now, &mut place.random);
        place
    }

    fn run(&mut self, phase: Duration) -> Tally {
        let mut tally = Tally::default();
        let mut running = std::collections::VecDeque::new();
        let end = self.now + phase;
        while self.now < end {
            if self.book.refresh_at() <= self.now {
                self.book.adopt(&self.listed, self.now, &mut self.random);
            }
            running.push_back(self.request(&mut tally));
            if running.len() > Self::OVERLAP {
                let address = running.pop_front().unwrap();
                self.book.finished(address, &Sign::Alive, self.now, &mut self.random);
            }
            self.now += Self::SPACING;
        }
        for address in running {
            self.book.finished(address, &Sign::Alive, self.now, &mut self.random);
        }
        tally
    }

    fn request(&mut self, tally: &mut Tally) -> SocketAddr {
        let mut tried = BTreeSet::new();
        tally.requests += 1;
        loop {
            let address = self.book.choose(&tried, self.now, &mut self.random).unwrap();
            tried.insert(address);
            tally.attempts += 1;
            if Some(address) != self.away {
                tally.attempts_max = tally.attempts_max.max(tried.len() as u32);
                *tally.answered_by.entry(address).or_default() += 1;
                return address;
            }
            self.book.finished(address, &Sign::Dead, self.now, &mut self.random);
        }
    }
}

#[test]
fn a_lost_vm_of_four_costs_callers_little() {
    let mut place = Place::new();
    place.run(LIFETIME);
    place.away = Some(vm(2));

    // For a while the system still lists the VM that is gone.
    let unnoticed = place.run(Duration::from_secs(3));
    place.listed = answer(&[(1, "a"), (3, "a"), (4, "a")]);
    let noticed = place.run(LIFETIME);
    let settled = place.run(LIFETIME);

    assert_eq!(unnoticed.attempts_max, 2, "each request is answered by the second attempt");
    let wasted = unnoticed.attempts - unnoticed.requests;
    assert!(wasted * 100 <= unnoticed.requests, "{wasted} of {} wasted", unnoticed.requests);
    assert!(noticed.attempts_max <= 2);
    assert_eq!(settled.attempts, settled.requests);
}

#[test]
fn load_evens_out_within_one_lifetime_of_a_return() {
    let mut place = Place::new();
    place.away = Some(vm(2));
    place.run(Duration::from_secs(1));
    place.listed = answer(&[(1, "a"), (3, "a"), (4, "a")]);
    place.run(LIFETIME);
    place.away = None;
    place.listed = answer(&[(1, "a"), (2, "a"), (3, "a"), (4, "a")]);

    place.run(LIFETIME);
    let after = place.run(LIFETIME);

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
    book.adopt(&answer(&[(1, "a"), (2, "b"), (3, "b"), (4, "c")]), now, &mut random);

    let near = book.choose(&BTreeSet::new(), now, &mut random);
    book.finished(vm(1), &Sign::Dead, now, &mut random);
    let next = book.choose(&BTreeSet::new(), now, &mut random);
    let excluded = BTreeSet::from([vm(1), vm(2), vm(3), vm(4)]);
    let seed = book.choose(&excluded, now, &mut random);

    assert_eq!(near, Some(vm(1)));
    assert!(next == Some(vm(2)) || next == Some(vm(3)));
    assert_eq!(seed, Some(vm(9)));
}

#[test]
fn a_vm_that_failed_is_tried_by_one_request_at_a_time() {
    let now = Instant::now();
    let mut random = random();
    let mut book = AddressBook::new(vec![], now);
    book.adopt(&answer(&[(1, "a"), (2, "b")]), now, &mut random);
    book.choose(&BTreeSet::new(), now, &mut random);
    book.finished(vm(1), &Sign::Dead, now, &mut random);
    let later = now + Duration::from_secs(1);

    let first = book.choose(&BTreeSet::new(), later, &mut random);
    let second = book.choose(&BTreeSet::new(), later, &mut random);
    book.finished(vm(1), &Sign::Alive, later, &mut random);
    let third = book.choose(&BTreeSet::new(), later, &mut random);

    assert_eq!((first, second, third), (Some(vm(1)), Some(vm(2)), Some(vm(1))));
}

#[test]
fn a_busy_vm_is_left_alone_for_the_time_it_asked_for() {
    let now = Instant::now();
    let mut random = random();
    let mut book = AddressBook::new(vec![], now);
    book.adopt(&answer(&[(1, "a"), (2, "b")]), now, &mut random);
    book.choose(&BTreeSet::new(), now, &mut random);
    let busy = Sign::Busy { retry_after: Duration::from_secs(1) };

    book.finished(vm(1), &busy, now, &mut random);
    let early = book.choose(&BTreeSet::new(), now + Duration::from_millis(999), &mut random);
    let late = book.choose(&BTreeSet::new(), now + Duration::from_millis(1_251), &mut random);

    assert_eq!((early, late), (Some(vm(2)), Some(vm(1))));
}

#[test]
fn absurd_times_from_a_vm_are_bounded() {
    let now = Instant::now();
    let mut random = random();
    let mut book = AddressBook::new(vec![], now);
    let listed = AddressesAnswer { lifetime_ms: u64::MAX, ..answer(&[(1, "a")]) };

    book.adopt(&listed, now, &mut random);
    let busy = Sign::Busy { retry_after: Duration::MAX };
    book.finished(vm(1), &busy, now, &mut random);

    assert!(book.refresh_at() <= now + Duration::from_secs(3600));
}

#[test]
fn a_failure_makes_a_refresh_due_once() {
    let now = Instant::now();
    let mut random = random();
    let mut book = AddressBook::new(vec![], now);
    book.adopt(&answer(&[(1, "a"), (2, "a")]), now, &mut random);

    let first = book.finished(vm(1), &Sign::Dead, now, &mut random);
    let again = book.finished(vm(1), &Sign::Dead, now, &mut random);

    assert!(first && !again);
    assert!(book.refresh_at() <= now);
}
