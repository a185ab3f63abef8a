//! Tests of admission.

use std::time::{Duration, Instant};

use super::*;
use crate::settings::QueryClass::{Archive, Lookup, Sweep};

fn service() -> String {
    "deadline-board".to_owned()
}

/// Admits until the first refusal and returns how many were admitted.
fn fill(admission: &mut Admission, class: crate::settings::QueryClass) -> u32 {
    (0..10_000)
        .take_while(|_| admission.admit(&service(), class, 10_000) == AdmissionResult::Admitted)
        .count() as u32
}

#[test]
fn a_full_service_refuses_with_a_time_to_come_back() {
    let mut admission = Admission::new();
    fill(&mut admission, Lookup);

    let result = admission.admit(&service(), Lookup, 10_000);

    assert!(matches!(result, AdmissionResult::Refused { retry_after } if !retry_after.is_zero()));
}

#[test]
fn a_flood_of_one_class_leaves_room_for_the_others() {
    let mut admission = Admission::new();
    fill(&mut admission, Sweep);

    assert_eq!(admission.admit(&service(), Lookup, 10_000), AdmissionResult::Admitted);
    fill(&mut admission, Lookup);
    assert_eq!(admission.admit(&service(), Archive, 10_000), AdmissionResult::Admitted);
    assert_eq!(admission.admit(&"other".to_owned(), Sweep, 10), AdmissionResult::Admitted);
}

#[test]
fn overload_lowers_the_limit_once_per_round_and_success_raises_it() {
    let now = Instant::now();
    let elapsed = Duration::from_millis(10);
    let mut admission = Admission::new();
    let before = fill(&mut admission, Lookup);
    for _ in 0..before {
        admission.release(&service(), Lookup, QueryEnd::Overloaded, elapsed, now);
    }

    let after = fill(&mut admission, Lookup);
    for _ in 0..after * 40 {
        admission.release(&service(), Lookup, QueryEnd::Served, elapsed, now);
        admission.admit(&service(), Lookup, 10_000);
    }
    let raised = admission.in_flight(&service()) + fill(&mut admission, Lookup);

    assert!(after < before && after > before / 2, "{before} then {after}");
    assert!(raised > after, "{after} then {raised}");
}

#[test]
fn the_class_limit_holds() {
    let mut admission = Admission::new();

    let admitted =
        (0..5).filter(|_| admission.admit(&service(), Sweep, 2) == AdmissionResult::Admitted);

    assert_eq!(admitted.count(), 2);
}

#[test]
fn the_urgent_class_keeps_a_share_of_the_limit_for_itself() {
    let mut admission = Admission::new();
    let sweeps = fill(&mut admission, Sweep);

    let lookups = fill(&mut admission, Lookup);

    assert!(lookups * 10 >= sweeps, "{sweeps} sweeps left room for {lookups} lookups");
}
