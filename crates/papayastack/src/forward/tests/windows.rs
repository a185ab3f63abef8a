//! Tests of the bound on repeats for each service.

use std::time::{Duration, Instant};

use crate::query::{RepeatWindowSettings, RepeatWindows};

const WINDOW: Duration = Duration::from_secs(10);

fn windows(vms: u32) -> RepeatWindows {
    let mut windows = RepeatWindows::default();
    let settings =
        RepeatWindowSettings { window: WINDOW, repeats_permille: 200, repeats_extra: 56 };
    windows.configure(settings, vms);
    windows
}

/// Sends `requests_per_s` for `length` with as many repeats as allowed; returns their times.
fn repeats(
    windows: &mut RepeatWindows,
    start: Instant,
    requests_per_s: u32,
    length: Duration,
) -> Vec<Instant> {
    let service = "board".to_owned();
    let mut taken = Vec::new();
    for request in 0..(requests_per_s * length.as_secs() as u32) {
        let now = start + Duration::from_secs(1) * request / requests_per_s;
        windows.count_request(&service, now);
        while windows.take_retry(&service, now) {
            taken.push(now);
        }
    }
    taken
}

#[test]
fn all_vms_together_stay_within_the_bound_in_every_window() {
    let start = Instant::now();
    let per_vm: Vec<Vec<Instant>> =
        (0..4).map(|_| repeats(&mut windows(4), start, 40, Duration::from_secs(35))).collect();
    let mut all: Vec<Instant> = per_vm.concat();
    all.sort();

    for (position, first) in all.iter().enumerate() {
        let within = all[position..].iter().take_while(|at| **at < *first + WINDOW).count();
        let allowed = 0.2 * 4.0 * 40.0 * WINDOW.as_secs_f64() + 56.0;
        assert!(within as f64 <= allowed, "{within} repeats in one window");
    }
}

#[test]
fn a_service_without_requests_gets_only_its_share_of_the_extra_repeats() {
    let mut windows = windows(4);
    let now = Instant::now();

    let taken = (0..100).filter(|_| windows.take_retry(&"board".to_owned(), now)).count();

    assert!((1..=14).contains(&taken), "{taken} repeats");
}

#[test]
fn a_refunded_repeat_may_be_used_again() {
    let mut windows = windows(4);
    let now = Instant::now();
    let service = "board".to_owned();
    while windows.take_retry(&service, now) {}

    windows.refund(&service);

    assert!(windows.take_retry(&service, now));
    assert!(!windows.take_retry(&service, now));
}
