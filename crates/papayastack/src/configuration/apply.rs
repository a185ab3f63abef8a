//! The decisions of one conditional update of the bundle: never applied twice, never claimed
//! falsely.

use std::time::Duration;

use json_patch::Patch;
use papayastack_macros::{message, value};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::bundle::Bundle;
use crate::platform::{Object, ObjectVersion, PlatformError, Precondition};

/// Calls that an apply makes before it gives up.
const CALLS_MAX: u32 = 12;
/// The upper bound of the first pause after a failed call.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// The upper bound of every pause, but for what the platform itself asks for.
const PAUSE_MAX: Duration = Duration::from_secs(3);

/// What an operator wants to apply.
#[value]
pub struct ApplyRequest {
    /// The bundle; its change id is new, or that of an earlier try whose outcome is unknown.
    pub bundle: Bundle,
    /// The version that the operator's change is based on; the one that is read where absent.
    pub expected_version: Option<ObjectVersion>,
}

/// What the driver must do next.
#[value]
pub enum ApplyOutput {
    /// Read the object that holds the bundle.
    Read,
    /// Update the object that holds the bundle.
    Update {
        /// The condition.
        precondition: Precondition,
        /// The new content.
        bundle: Bundle,
    },
    /// Wait, then pass on [`ApplyInput::Resumed`].
    Pause(Duration),
    /// Nothing; the apply has ended.
    End(ApplyOutcome),
}

/// What came of the last [`ApplyOutput`].
#[value]
pub enum ApplyInput {
    /// The object was read, or not.
    Read(Result<Object, PlatformError>),
    /// The update was answered, or not.
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
        /// The version that it made.
        version: ObjectVersion,
    },
    /// The change took effect under an earlier try and a later change has replaced it.
    Replaced {
        /// The version now.
        version: ObjectVersion,
        /// The change that made it.
        change_id: String,
    },
    /// Somebody else changed the bundle first; nothing was written.
    Raced(RaceReport),
    /// Nothing was written.
    NotApplied {
        /// What went wrong.
        problem: String,
    },
    /// The update was sent and its effect is not known; it may still take effect.
    Unknown {
        /// What went wrong.
        problem: String,
    },
}

/// The change of another operator.
#[message]
pub struct RaceReport {
    /// The version now.
    pub version: ObjectVersion,
    /// The change that made it.
    pub change_id: String,
    /// What that operator changed since the version that this apply read, where it read one.
    pub their_difference: Option<Patch>,
    /// What this apply would change now.
    pub own_difference: Patch,
}

/// One apply as a pure machine: values in, values out.
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

/// What the update is conditional on.
#[derive(Debug, Clone)]
struct BaseObject {
    version: ObjectVersion,
    bundle: Option<Bundle>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    ReadFirst,
    Update,
    ReadBack,
}

impl ApplyMachine {
    /// Opens the machine; `seed` decides the pauses.
    pub fn open(request: ApplyRequest, seed: u64) -> Self {
        Self {
            request,
            base: None,
            step: Step::ReadFirst,
            answer_lost: false,
            conflicted: false,
            calls: 0,
            pauses: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the first output.
    pub fn begin(&mut self) -> ApplyOutput {
        self.call()
    }

    /// Takes what came of the last output and returns the next.
    pub fn on_input(&mut self, input: ApplyInput) -> ApplyOutput {
        match input {
            ApplyInput::Resumed => self.call(),
            ApplyInput::Updated(answer) => self.on_updated(answer),
            ApplyInput::Read(answer) if self.step == Step::ReadBack => self.on_read_back(answer),
            ApplyInput::Read(answer) => self.on_first_read(answer),
        }
    }

    fn call(&mut self) -> ApplyOutput {
        self.calls += 1;
        match self.step {
            Step::ReadFirst | Step::ReadBack => ApplyOutput::Read,
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

    fn on_first_read(&mut self, answer: Result<Object, PlatformError>) -> ApplyOutput {
        match answer {
            Ok(object) => self.on_current(object),
            Err(PlatformError::NotFound) => match self.request.expected_version {
                None | Some(0) => self.go_on(Step::Update),
                Some(version) => end_not_applied(format!(
                    "version {version} was expected, but the platform holds no configuration"
                )),
            },
            Err(error) => self.try_again(&error),
        }
    }

    fn on_current(&mut self, object: Object) -> ApplyOutput {
        let current = parse(&object);
        if let Some(outcome) = self.found(&object, current.as_ref()) {
            return ApplyOutput::End(outcome);
        }
        match self.request.expected_version {
            Some(version) if version < object.version => {
                return ApplyOutput::End(self.raced(&object));
            }
            // A replica that lags shows less than what the operator has read.
            Some(version) if version > object.version => {
                return self.try_again(&PlatformError::Conflict);
            }
            _ => {}
        }
        self.base = Some(BaseObject { version: object.version, bundle: current });
        self.go_on(Step::Update)
    }

    fn on_updated(&mut self, answer: Result<ObjectVersion, PlatformError>) -> ApplyOutput {
        match answer {
            Ok(version) => ApplyOutput::End(ApplyOutcome::Applied { version }),
            Err(PlatformError::Conflict) => {
                self.conflicted = true;
                self.go_on(Step::ReadBack)
            }
            Err(PlatformError::AnswerLost) => {
                self.answer_lost = true;
                self.step = Step::ReadBack;
                self.try_again(&PlatformError::AnswerLost)
            }
            Err(error @ (PlatformError::Rejected { .. } | PlatformError::NotFound)) => {
                self.give_up(&error)
            }
            Err(error) => self.try_again(&error),
        }
    }

    fn on_read_back(&mut self, answer: Result<Object, PlatformError>) -> ApplyOutput {
        let object = match answer {
            Ok(object) => object,
            // Nothing is there, as the update requires: it has not taken effect yet.
            Err(PlatformError::NotFound) if self.base.is_none() && !self.conflicted => {
                return self.go_on(Step::Update);
            }
            Err(error @ PlatformError::NotFound) if self.conflicted => {
                return self.try_again(&error);
            }
            Err(error @ PlatformError::NotFound) => return self.give_up(&error),
            Err(error) => return self.try_again(&error),
        };
        let current = parse(&object);
        if let Some(outcome) = self.found(&object, current.as_ref()) {
            return ApplyOutput::End(outcome);
        }
        let base_version = self.base.as_ref().map_or(0, |base| base.version);
        if object.version < base_version || (self.conflicted && object.version == base_version) {
            // A replica that lags: the object was later than this already.
            return self.try_again(&PlatformError::Conflict);
        }
        if object.version == base_version {
            // The same condition makes a repeated update take effect once at most.
            return self.go_on(Step::Update);
        }
        if self.answer_lost && !self.follows_base(current.as_ref()) {
            return ApplyOutput::End(ApplyOutcome::Unknown {
                problem: format!(
                    "an answer was lost, and version {} does not say which changes came before it",
                    object.version
                ),
            });
        }
        ApplyOutput::End(self.raced(&object))
    }

    /// Returns the outcome where the object says that the change took effect.
    fn found(&self, object: &Object, current: Option<&Bundle>) -> Option<ApplyOutcome> {
        let own_id = &self.request.bundle.change_id;
        let current = current.filter(|current| current.includes_change(own_id))?;
        let version = object.version;
        Some(if current.change_id == *own_id {
            ApplyOutcome::Applied { version }
        } else {
            ApplyOutcome::Replaced { version, change_id: current.change_id.clone() }
        })
    }

    /// Returns whether `current` names every change since the base, so that one that it does not
    /// name did not take effect.
    fn follows_base(&self, current: Option<&Bundle>) -> bool {
        let Some(current) = current else { return false };
        match &self.base {
            Some(BaseObject { bundle: Some(base), .. }) => current.includes_change(&base.change_id),
            Some(BaseObject { bundle: None, .. }) => false,
            None => current.earlier_change_ids.len() < super::bundle::EARLIER_CHANGES_MAX,
        }
    }

    fn raced(&self, object: &Object) -> ApplyOutcome {
        let current = parse(object);
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

    fn go_on(&mut self, step: Step) -> ApplyOutput {
        self.step = step;
        if self.calls >= CALLS_MAX {
            return self.give_up(&PlatformError::Unavailable);
        }
        self.call()
    }

    fn try_again(&mut self, error: &PlatformError) -> ApplyOutput {
        if self.calls >= CALLS_MAX || matches!(error, PlatformError::Rejected { .. }) {
            return self.give_up(error);
        }
        let bound = PAUSE_FIRST.saturating_mul(1 << self.pauses.min(10)).min(PAUSE_MAX);
        self.pauses += 1;
        let asked = match error {
            PlatformError::RateLimited { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        ApplyOutput::Pause(asked + bound.mul_f64(self.random.random_range(0.0..=1.0)))
    }

    fn give_up(&self, error: &PlatformError) -> ApplyOutput {
        if self.answer_lost {
            let problem = format!("an answer was lost, and then: {error}");
            return ApplyOutput::End(ApplyOutcome::Unknown { problem });
        }
        end_not_applied(error.to_string())
    }
}

fn end_not_applied(problem: String) -> ApplyOutput {
    ApplyOutput::End(ApplyOutcome::NotApplied { problem })
}

fn parse(object: &Object) -> Option<Bundle> {
    serde_json::from_value(object.value.clone()).ok()
}
