//! Tests of admission control.

use std::time::{Duration, Instant};

use super::*;
use crate::settings::QueryClass::{Archive, Lookup, Sweep};

fn service() -> String {
    "deadline-board".to_owned()
}

/// Admits queries until the first refusal and returns the number admitted.
fn fill(admission: &mut Admission, class: crate::settings::QueryClass) -> u32 {
    (0..10_000)
        .take_while(|_| admission.admit(&service(), class, 10_000) == AdmissionResult::Admitted)
        .count() as u32
}

#[test]
fn a_full_service_refuses_with_a_retry_time() {
    let mut admission = Admission::new();
    fill(&mut admission, Lookup);

    let result = admission.admit(&service(), Lookup, 10_000);

    assert!(matches!(result, AdmissionResult::Refused { retry_after } if !retry_after.is_zero()));
}

#[test]
fn a_class_that_fills_its_limit_leaves_room_for_others() {
    let mut admission = Admission::new();
    fill(&mut admission, Sweep);

    assert_eq!(admission.admit(&service(), Lookup, 10_000), AdmissionResult::Admitted);
    fill(&mut admission, Lookup);
    assert_eq!(admission.admit(&service(), Archive, 10_000), AdmissionResult::Admitted);
    assert_eq!(admission.admit(&"other".to_owned(), Sweep, 10), AdmissionResult::Admitted);
}

#[test]
fn simultaneous_overloads_lower_the_limit_once_and_success_raises_it() {
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
fn a_class_never_exceeds_its_maximum() {
    let mut admission = Admission::new();

    let admitted =
        (0..5).filter(|_| admission.admit(&service(), Sweep, 2) == AdmissionResult::Admitted);

    assert_eq!(admitted.count(), 2);
}

#[test]
fn the_most_urgent_class_has_a_reserved_share_of_the_limit() {
    let mut admission = Admission::new();
    let sweeps = fill(&mut admission, Sweep);

    let lookups = fill(&mut admission, Lookup);

    assert!(lookups * 10 >= sweeps, "{sweeps} sweeps left room for {lookups} lookups");
}
