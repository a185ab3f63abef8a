//! The state machine of one conditional update of the bundle, which applies a change at most once
//! and reports its outcome only as far as it is known.

use std::time::Duration;

use json_patch::Patch;
use papayastack_macros::{message, value};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::bundle::Bundle;
use crate::platform::{Object, ObjectVersion, PlatformError, Precondition};

/// Maximum number of calls to the platform per apply.
const CALLS_MAX: u32 = 12;
/// Upper bound of the pause after the first failed call; it doubles with each further failure.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Upper bound of every pause, to which a delay requested by the platform is added.
const PAUSE_MAX: Duration = Duration::from_secs(3);

/// A change that an operator wants to apply.
#[value]
pub struct ApplyRequest {
    /// The new bundle; its change id is new, or that of an earlier attempt with an unknown outcome.
    pub bundle: Bundle,
    /// The version that the change is based on; if `None`, the version that the apply reads first.
    pub expected_version: Option<ObjectVersion>,
}

/// The next action that the driver must perform.
#[value]
pub enum ApplyOutput {
    /// Read the platform object that stores the bundle.
    Read,
    /// Update the platform object that stores the bundle.
    Update {
        /// The condition under which the platform accepts the update.
        precondition: Precondition,
        /// The new content.
        bundle: Bundle,
    },
    /// Sleep for this duration, then pass [`ApplyInput::Resumed`].
    Pause(Duration),
    /// Stop; the apply has ended.
    End(ApplyOutcome),
}

/// The result of the last [`ApplyOutput`].
#[value]
pub enum ApplyInput {
    /// The result of the read.
    Read(Result<Object, PlatformError>),
    /// The result of the update.
    Updated(Result<ObjectVersion, PlatformError>),
    /// The pause is over.
    Resumed,
}

/// How an apply ended.
#[message]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// The change took effect.
    Applied {
        /// The version that the change produced.
        version: ObjectVersion,
    },
    /// The change took effect in an earlier attempt, and a later change has replaced it.
    Replaced {
        /// The current version.
        version: ObjectVersion,
        /// The change that produced the current version.
        change_id: String,
    },
    /// Another operator changed the bundle first; nothing was written.
    Raced(RaceReport),
    /// Nothing was written.
    NotApplied {
        /// What went wrong.
        problem: String,
    },
    /// The update was sent and whether it took effect is unknown; it may still do so.
    Unknown {
        /// What went wrong.
        problem: String,
    },
}

/// The concurrent change of another operator that made an apply fail.
#[message]
pub struct RaceReport {
    /// The current version.
    pub version: ObjectVersion,
    /// The change that produced the current version.
    pub change_id: String,
    /// The changes since the version that this apply read; `None` if it read no bundle.
    pub their_difference: Option<Patch>,
    /// The changes that this apply would make to the current version.
    pub own_difference: Patch,
}

/// One apply as a state machine without I/O: it takes the results of calls and returns the next
/// action.
#[derive(Debug)]
pub struct ApplyMachine {
    request: ApplyRequest,
    base: Option<BaseObject>,
    step: Step,
    answer_lost: bool,
    conflicted: bool,
    calls: u32,
    pauses: u32,
    random: SmallRng,
}

/// The object on which the update is conditional.
#[derive(Debug, Clone)]
struct BaseObject {
    version: ObjectVersion,
    bundle: Option<Bundle>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    InitialRead,
    Update,
    ReadBack,
}

impl ApplyMachine {
    /// Creates the machine; `seed` determines the random pauses.
    pub fn open(request: ApplyRequest, seed: u64) -> Self {
        Self {
            request,
            base: None,
            step: Step::InitialRead,
            answer_lost: false,
            conflicted: false,
            calls: 0,
            pauses: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the first output.
    pub fn begin(&mut self) -> ApplyOutput {
        self.next_call()
    }

    /// Handles the result of the last output and returns the next output.
    pub fn on_input(&mut self, input: ApplyInput) -> ApplyOutput {
        match input {
            ApplyInput::Resumed => self.next_call(),
            ApplyInput::Updated(answer) => self.on_updated(answer),
            ApplyInput::Read(answer) if self.step == Step::ReadBack => self.on_read_back(answer),
            ApplyInput::Read(answer) => self.on_initial_read(answer),
        }
    }

    fn next_call(&mut self) -> ApplyOutput {
        self.calls += 1;
        match self.step {
            Step::InitialRead | Step::ReadBack => ApplyOutput::Read,
            Step::Update => {
                let precondition = match &self.base {
                    Some(base) => Precondition::Version(base.version),
                    None => Precondition::Absent,
                };
                let current = self.base.as_ref().and_then(|base| base.bundle.as_ref());
                let bundle = self.request.bundle.clone().succeeding(current);
                ApplyOutput::Update { precondition, bundle }
            }
        }
    }

    fn on_initial_read(&mut self, answer: Result<Object, PlatformError>) -> ApplyOutput {
        match answer {
            Ok(object) => self.on_current(object),
            Err(PlatformError::NotFound) => match self.request.expected_version {
                None | Some(0) => self.proceed(Step::Update),
                Some(version) => end_not_applied(format!(
                    "version {version} was expected, but the platform stores no configuration"
                )),
            },
            Err(error) => self.retry(&error),
        }
    }

    fn on_current(&mut self, object: Object) -> ApplyOutput {
        let current = parse_bundle(&object);
        if let Some(outcome) = self.recorded_outcome(&object, current.as_ref()) {
            return ApplyOutput::End(outcome);
        }
        match self.request.expected_version {
            Some(version) if version < object.version => {
                return ApplyOutput::End(self.race_outcome(&object));
            }
            // A lagging replica returned an older version than the operator has already read.
            Some(version) if version > object.version => {
                return self.retry(&PlatformError::Conflict);
            }
            _ => {}
        }
        self.base = Some(BaseObject { version: object.version, bundle: current });
        self.proceed(Step::Update)
    }

    fn on_updated(&mut self, answer: Result<ObjectVersion, PlatformError>) -> ApplyOutput {
        match answer {
            Ok(version) => ApplyOutput::End(ApplyOutcome::Applied { version }),
            Err(PlatformError::Conflict) => {
                self.conflicted = true;
                self.proceed(Step::ReadBack)
            }
            Err(PlatformError::AnswerLost) => {
                self.answer_lost = true;
                self.step = Step::ReadBack;
                self.retry(&PlatformError::AnswerLost)
            }
            Err(error @ (PlatformError::Rejected { .. } | PlatformError::NotFound)) => {
                self.give_up(&error)
            }
            Err(error) => self.retry(&error),
        }
    }

    fn on_read_back(&mut self, answer: Result<Object, PlatformError>) -> ApplyOutput {
        let object = match answer {
            Ok(object) => object,
            // The object is still absent: the update has not taken effect and can be repeated.
            Err(PlatformError::NotFound) if self.base.is_none() && !self.conflicted => {
                return self.proceed(Step::Update);
            }
            Err(error @ PlatformError::NotFound) if self.conflicted => {
                return self.retry(&error);
            }
            Err(error @ PlatformError::NotFound) => return self.give_up(&error),
            Err(error) => return self.retry(&error),
        };
        let current = parse_bundle(&object);
        if let Some(outcome) = self.recorded_outcome(&object, current.as_ref()) {
            return ApplyOutput::End(outcome);
        }
        let base_version = self.base.as_ref().map_or(0, |base| base.version);
        if object.version < base_version || (self.conflicted && object.version == base_version) {
            // A lagging replica: the object is known to have had a later version.
            return self.retry(&PlatformError::Conflict);
        }
        if object.version == base_version {
            // The precondition ensures that a repeated update takes effect at most once.
            return self.proceed(Step::Update);
        }
        if self.answer_lost && !self.records_changes_since_base(current.as_ref()) {
            return ApplyOutput::End(ApplyOutcome::Unknown {
                problem: format!(
                    "the answer to the update was lost, and version {} does not record the \
                     changes before it",
                    object.version
                ),
            });
        }
        ApplyOutput::End(self.race_outcome(&object))
    }

    /// Returns the outcome if the object records that the change took effect.
    fn recorded_outcome(&self, object: &Object, current: Option<&Bundle>) -> Option<ApplyOutcome> {
        let own_id = &self.request.bundle.change_id;
        let current = current.filter(|current| current.includes_change(own_id))?;
        let version = object.version;
        Some(if current.change_id == *own_id {
            ApplyOutcome::Applied { version }
        } else {
            ApplyOutcome::Replaced { version, change_id: current.change_id.clone() }
        })
    }

    /// Returns whether `current` records every change since the base, so that a change that it does
    /// not record did not take effect.
    fn records_changes_since_base(&self, current: Option<&Bundle>) -> bool {
        let Some(current) = current else { return false };
        match &self.base {
            Some(BaseObject { bundle: Some(base), .. }) => current.includes_change(&base.change_id),
            Some(BaseObject { bundle: None, .. }) => false,
            None => current.earlier_change_ids.len() < super::bundle::EARLIER_CHANGES_MAX,
        }
    }

    fn race_outcome(&self, object: &Object) -> ApplyOutcome {
        let current = parse_bundle(object);
        let content = |bundle: &Bundle| bundle.content();
        let now = current.as_ref().map_or_else(|| object.value.clone(), content);
        let read = self.base.as_ref().and_then(|base| base.bundle.as_ref()).map(content);
        let change_id = current.map_or_else(|| "unknown".to_owned(), |current| current.change_id);
        ApplyOutcome::Raced(RaceReport {
            version: object.version,
            change_id,
            their_difference: read.map(|read| json_patch::diff(&read, &now)),
            own_difference: json_patch::diff(&now, &self.request.bundle.content()),
        })
    }

    fn proceed(&mut self, step: Step) -> ApplyOutput {
        self.step = step;
        if self.calls >= CALLS_MAX {
            return self.give_up(&PlatformError::Unavailable);
        }
        self.next_call()
    }

    fn retry(&mut self, error: &PlatformError) -> ApplyOutput {
        if self.calls >= CALLS_MAX || matches!(error, PlatformError::Rejected { .. }) {
            return self.give_up(error);
        }
        let bound = PAUSE_FIRST.saturating_mul(1 << self.pauses.min(10)).min(PAUSE_MAX);
        self.pauses += 1;
        let requested = match error {
            PlatformError::RateLimited { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        ApplyOutput::Pause(requested + bound.mul_f64(self.random.random_range(0.0..=1.0)))
    }

    fn give_up(&self, error: &PlatformError) -> ApplyOutput {
        if self.answer_lost {
            let problem = format!("the answer to the update was lost, and then: {error}");
            return ApplyOutput::End(ApplyOutcome::Unknown { problem });
        }
        end_not_applied(error.to_string())
    }
}

fn end_not_applied(problem: String) -> ApplyOutput {
    ApplyOutput::End(ApplyOutcome::NotApplied { problem })
}

fn parse_bundle(object: &Object) -> Option<Bundle> {
    serde_json::from_value(object.value.clone()).ok()
}
