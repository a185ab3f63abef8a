//! Tests of applies under lost answers, concurrent changes and outages.

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;

use super::super::*;
use super::fleet;
use crate::platform::{Object, ObjectVersion, PlatformError, Precondition};

/// The fault that is injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The call is lost before it takes effect.
    LostBefore,
    /// The call takes effect and its answer is lost.
    LostAfter,
    /// The answer is lost and the update takes effect two calls later.
    LostAndDelayed,
    Unavailable,
    RateLimited,
    /// A lagging replica answers the read.
    Stale,
    /// Another operator changes the bundle before the call.
    Race,
}

#[derive(Default)]
struct FakePlatform {
    object: Option<Object>,
    replica: Option<Object>,
    history: Vec<String>,
    delayed: VecDeque<(u32, Precondition, Bundle)>,
    faults: VecDeque<Fault>,
    races: u32,
}

impl FakePlatform {
    fn with_faults(faults: &[Fault]) -> Self {
        let mut platform = Self { faults: faults.iter().copied().collect(), ..Self::default() };
        platform.write(&Precondition::Absent, &bundle("first", 1)).unwrap();
        platform
    }

    fn write(
        &mut self,
        precondition: &Precondition,
        bundle: &Bundle,
    ) -> Result<ObjectVersion, PlatformError> {
        let version = self.object.as_ref().map(|object| object.version);
        let holds = match precondition {
            Precondition::Absent => version.is_none(),
            Precondition::Version(wanted) => version == Some(*wanted),
        };
        if !holds {
            return Err(PlatformError::Conflict);
        }
        let next = version.unwrap_or(0) + 1;
        let value = serde_json::to_value(bundle).unwrap();
        self.replica = self.object.replace(Object { version: next, value });
        self.history.push(bundle.change_id.clone());
        Ok(next)
    }

    fn next_fault(&mut self) -> Fault {
        let due: Vec<_> = self.delayed.iter_mut().map(|delayed| &mut delayed.0).collect();
        due.into_iter().for_each(|calls_left| *calls_left = calls_left.saturating_sub(1));
        while self.delayed.front().is_some_and(|delayed| delayed.0 == 0) {
            self.apply_delayed_update();
        }
        let fault = self.faults.pop_front().unwrap_or(Fault::None);
        if fault == Fault::Race {
            self.races += 1;
            let races = self.races;
            let current: Bundle =
                serde_json::from_value(self.object.clone().unwrap().value).unwrap();
            let theirs = bundle(&format!("theirs-{races}"), 100 + u64::from(races));
            let theirs = theirs.succeeding(Some(&current));
            let version = self.object.as_ref().unwrap().version;
            self.write(&Precondition::Version(version), &theirs).unwrap();
        }
        fault
    }

    fn apply_delayed_update(&mut self) {
        if let Some((_, precondition, bundle)) = self.delayed.pop_front() {
            let _ = self.write(&precondition, &bundle);
        }
    }

    fn read(&mut self) -> Result<Object, PlatformError> {
        match self.next_fault() {
            Fault::None | Fault::Race => self.object.clone().ok_or(PlatformError::NotFound),
            Fault::Stale => self.replica.clone().ok_or(PlatformError::NotFound),
            Fault::LostBefore | Fault::LostAfter | Fault::LostAndDelayed => {
                Err(PlatformError::AnswerLost)
            }
            Fault::Unavailable => Err(PlatformError::Unavailable),
            Fault::RateLimited => {
                Err(PlatformError::RateLimited { retry_after: Duration::from_secs(1) })
            }
        }
    }

    fn update(
        &mut self,
        precondition: Precondition,
        bundle: Bundle,
    ) -> Result<ObjectVersion, PlatformError> {
        match self.next_fault() {
            Fault::None | Fault::Race | Fault::Stale => self.write(&precondition, &bundle),
            Fault::LostBefore => Err(PlatformError::AnswerLost),
            Fault::LostAfter => {
                let _ = self.write(&precondition, &bundle);
                Err(PlatformError::AnswerLost)
            }
            Fault::LostAndDelayed => {
                self.delayed.push_back((2, precondition, bundle));
                Err(PlatformError::AnswerLost)
            }
            Fault::Unavailable => Err(PlatformError::Unavailable),
            Fault::RateLimited => {
                Err(PlatformError::RateLimited { retry_after: Duration::from_secs(1) })
            }
        }
    }

    fn count(&self, change_id: &str) -> usize {
        self.history.iter().filter(|id| *id == change_id).count()
    }
}

fn bundle(change_id: &str, revision: u64) -> Bundle {
    let mut bundle: Bundle = serde_json::from_value(fleet::bundle(revision)).unwrap();
    bundle.change_id = change_id.to_owned();
    bundle
}

fn apply(platform: &mut FakePlatform, expected_version: Option<ObjectVersion>) -> ApplyOutcome {
    let request = ApplyRequest { bundle: bundle("own", 2), expected_version };
    let mut machine = ApplyMachine::open(request, 1);
    let mut output = machine.begin();
    loop {
        let input = match output {
            ApplyOutput::Read => ApplyInput::Read(platform.read()),
            ApplyOutput::Update { precondition, bundle } => {
                ApplyInput::Updated(platform.update(precondition, bundle))
            }
            ApplyOutput::Pause(_) => ApplyInput::Resumed,
            ApplyOutput::End(outcome) => return outcome,
        };
        output = machine.on_input(input);
    }
}

#[test]
fn an_apply_without_faults_writes_once() {
    let mut platform = FakePlatform::with_faults(&[]);

    let first = apply(&mut platform, Some(1));
    let again = apply(&mut platform, Some(2));

    assert_eq!(first, ApplyOutcome::Applied { version: 2 });
    assert_eq!(again, ApplyOutcome::Applied { version: 2 });
    assert_eq!(platform.history, ["first", "own"]);
}

#[test]
fn the_first_apply_creates_the_object() {
    let mut platform = FakePlatform::default();

    let outcome = apply(&mut platform, None);

    assert_eq!(outcome, ApplyOutcome::Applied { version: 1 });
}

#[test]
fn an_answer_lost_after_the_effect_is_resolved_by_reading_back() {
    let mut platform = FakePlatform::with_faults(&[Fault::None, Fault::LostAfter]);

    let outcome = apply(&mut platform, None);

    assert_eq!(outcome, ApplyOutcome::Applied { version: 2 });
    assert_eq!(platform.count("own"), 1);
}

#[test]
fn an_update_lost_before_the_effect_is_sent_again() {
    let mut platform = FakePlatform::with_faults(&[Fault::None, Fault::LostBefore]);

    let outcome = apply(&mut platform, None);

    assert_eq!(outcome, ApplyOutcome::Applied { version: 2 });
    assert_eq!(platform.count("own"), 1);
}

#[test]
fn an_update_that_takes_effect_late_is_applied_once() {
    let mut platform = FakePlatform::with_faults(&[Fault::None, Fault::LostAndDelayed]);

    let outcome = apply(&mut platform, None);

    assert_eq!(outcome, ApplyOutcome::Applied { version: 2 });
    assert_eq!(platform.count("own"), 1);
}

#[test]
fn a_change_replaced_after_a_lost_answer_is_reported_as_replaced() {
    let mut platform = FakePlatform::with_faults(&[Fault::None, Fault::LostAfter, Fault::Race]);

    let outcome = apply(&mut platform, None);

    let change_id = "theirs-1".to_owned();
    assert_eq!(outcome, ApplyOutcome::Replaced { version: 3, change_id });
}

#[test]
fn a_lagging_replica_is_not_taken_for_a_race() {
    let mut platform = FakePlatform::with_faults(&[Fault::Race, Fault::Stale]);
    platform.read().unwrap();

    let outcome = apply(&mut platform, Some(2));

    assert_eq!(outcome, ApplyOutcome::Applied { version: 3 });
}

#[test]
fn a_race_ends_with_the_differences_of_both_changes() {
    let mut platform = FakePlatform::with_faults(&[Fault::None, Fault::Race]);

    let outcome = apply(&mut platform, None);

    let ApplyOutcome::Raced(report) = outcome else { panic!("{outcome:?}") };
    assert_eq!((report.version, report.change_id.as_str()), (2, "theirs-1"));
    let theirs = serde_json::to_value(report.their_difference.unwrap()).unwrap();
    let path = "/base/routing/queue_max";
    let expected = serde_json::json!([{"op": "replace", "path": path, "value": 102}]);
    assert_eq!(theirs, expected);
    let own = serde_json::to_value(report.own_difference).unwrap();
    assert_eq!(own, serde_json::json!([{"op": "replace", "path": path, "value": 3}]));
    assert_eq!(platform.count("own"), 0);
}

#[test]
fn a_change_based_on_an_older_version_is_refused() {
    let mut platform = FakePlatform::with_faults(&[Fault::Race]);

    let outcome = apply(&mut platform, Some(1));

    assert!(matches!(outcome, ApplyOutcome::Raced(report) if report.version == 2));
    assert_eq!(platform.count("own"), 0);
}

#[test]
fn an_outage_before_the_update_ends_as_not_applied() {
    let mut platform = FakePlatform::with_faults(&[Fault::Unavailable; 40]);

    let outcome = apply(&mut platform, None);

    assert!(matches!(outcome, ApplyOutcome::NotApplied { .. }), "{outcome:?}");
}

#[test]
fn an_outage_after_a_lost_answer_ends_as_unknown() {
    let mut faults = vec![Fault::None, Fault::LostAfter];
    faults.extend([Fault::Unavailable; 40]);
    let mut platform = FakePlatform::with_faults(&faults);

    let outcome = apply(&mut platform, None);
    platform.faults.clear();
    let resumed = apply(&mut platform, Some(1));

    assert!(matches!(outcome, ApplyOutcome::Unknown { .. }), "{outcome:?}");
    assert_eq!(resumed, ApplyOutcome::Applied { version: 2 });
    assert_eq!(platform.count("own"), 1);
}

#[test]
fn a_write_without_earlier_change_ids_after_a_lost_answer_ends_as_unknown() {
    let mut platform = FakePlatform::with_faults(&[Fault::None, Fault::LostAfter]);
    platform.faults.push_back(Fault::Unavailable);
    let request = ApplyRequest { bundle: bundle("own", 2), expected_version: None };
    let mut machine = ApplyMachine::open(request, 1);
    machine.begin();
    let update = machine.on_input(ApplyInput::Read(platform.read()));
    let ApplyOutput::Update { precondition, bundle: own } = update else { panic!("{update:?}") };
    machine.on_input(ApplyInput::Updated(platform.update(precondition, own)));
    machine.on_input(ApplyInput::Resumed);

    // Another client writes a bundle without the earlier change ids.
    platform.write(&Precondition::Version(2), &bundle("foreign", 9)).unwrap();
    let output = machine.on_input(ApplyInput::Read(Ok(platform.object.clone().unwrap())));

    assert!(matches!(output, ApplyOutput::End(ApplyOutcome::Unknown { .. })), "{output:?}");
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        2 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        2 => Just(Fault::LostAndDelayed),
        1 => Just(Fault::Unavailable),
        1 => Just(Fault::RateLimited),
        1 => Just(Fault::Race),
        2 => Just(Fault::Stale),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_faults_apply_a_change_twice_or_lead_to_a_wrong_outcome(
        faults in proptest::collection::vec(fault(), 0..16),
        expected_version in proptest::option::of(1..3_u64),
    ) {
        let mut platform = FakePlatform::with_faults(&faults);

        let outcome = apply(&mut platform, expected_version);
        let count_at_end = platform.count("own");
        while !platform.delayed.is_empty() {
            platform.apply_delayed_update();
        }

        prop_assert!(platform.count("own") <= 1, "applied twice: {:?}", platform.history);
        match outcome {
            ApplyOutcome::Applied { version } => {
                prop_assert_eq!(count_at_end, 1);
                prop_assert_eq!(&platform.history[version as usize - 1], "own");
            }
            ApplyOutcome::Replaced { .. } => prop_assert_eq!(count_at_end, 1),
            ApplyOutcome::Raced(_) | ApplyOutcome::NotApplied { .. } => prop_assert_eq!(platform.count("own"), 0),
            ApplyOutcome::Unknown { .. } => {}
        }
    }
}
