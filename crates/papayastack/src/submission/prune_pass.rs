//! The state machine of one pruning pass: raises the ledger floor, then deletes the objects below
//! it.
//!
//! Any number of passes may run at once. The floor is raised by a conditional update before
//! anything is deleted, and every VM reads it between recording an intent and sending, so a key
//! does not run again through an object that was deleted and recreated.

use std::collections::VecDeque;

use super::layout::{
    ERA_MS, Era, EraLayout, LAYOUT_KIND, LedgerFloor, era_of, floor_name, layout_era, layout_name,
};
use crate::platform::{Object, ObjectName, ObjectVersion, PlatformError, Precondition};
use crate::settings::SubmissionSettings;

/// A call to the platform.
#[derive(Debug, Clone)]
pub(crate) enum PruneCall {
    Read(ObjectName),
    ListLayouts(&'static str),
    Update(ObjectName, Precondition, serde_json::Value),
    Delete(ObjectName, ObjectVersion),
}

/// The platform's answer to a [`PruneCall`].
#[derive(Debug, Clone)]
pub(crate) enum PruneAnswer {
    Read(Result<Object, PlatformError>),
    Listed(Result<Vec<ObjectName>, PlatformError>),
    Updated(Result<ObjectVersion, PlatformError>),
    Deleted(Result<(), PlatformError>),
}

/// What the pass needs after an answer.
#[derive(Debug)]
pub(crate) enum PruneStep {
    /// The next call to make.
    Call(PruneCall),
    /// The pass ended: no objects are left to delete.
    Finished,
    /// The pass ended early: a call failed, or another VM changed an object at the same time.
    Failed(PlatformError),
}

/// The answer that the pass waits for.
#[derive(Debug)]
enum Waiting {
    Floor,
    Layouts(LedgerFloor, Precondition),
    Raised(LedgerFloor, Vec<Era>),
    Layout(Era),
    Object(ObjectName),
    Deleted,
}

/// One pruning pass.
#[derive(Debug)]
pub(crate) struct PrunePass {
    oldest_kept: Era,
    retained_ms: u64,
    waiting: Waiting,
    eras: VecDeque<Era>,
    objects: VecDeque<ObjectName>,
}

impl PrunePass {
    /// Creates a pass that starts at `unix_ms`; returns it with its first call.
    pub(crate) fn start(settings: &SubmissionSettings, unix_ms: u64) -> (Self, PruneCall) {
        // Each clock may deviate from the true time by the skew, so another VM's clock may lag this
        // one by twice the skew.
        let retained_ms = settings.retention_ms + 2 * settings.clock_skew_max_ms;
        let pass = Self {
            oldest_kept: era_of(unix_ms.saturating_sub(retained_ms)),
            retained_ms,
            waiting: Waiting::Floor,
            eras: VecDeque::new(),
            objects: VecDeque::new(),
        };
        (pass, PruneCall::Read(floor_name()))
    }

    /// Handles the answer to the latest call.
    pub(crate) fn answered(&mut self, answer: PruneAnswer) -> PruneStep {
        match self.advance(answer) {
            Ok(Some(call)) => PruneStep::Call(call),
            Ok(None) => PruneStep::Finished,
            Err(error) => PruneStep::Failed(error),
        }
    }

    fn advance(&mut self, answer: PruneAnswer) -> Result<Option<PruneCall>, PlatformError> {
        match (std::mem::replace(&mut self.waiting, Waiting::Deleted), answer) {
            (Waiting::Floor, PruneAnswer::Read(read)) => {
                let version = read.as_ref().ok().map(|object| object.version);
                let precondition = version.map_or(Precondition::Absent, Precondition::Version);
                let floor = LedgerFloor::from_read(read)?;
                self.waiting = Waiting::Layouts(floor, precondition);
                Ok(Some(PruneCall::ListLayouts(LAYOUT_KIND)))
            }
            (Waiting::Layouts(floor, precondition), PruneAnswer::Listed(names)) => {
                let eras: Vec<Era> = names?.iter().filter_map(layout_era).collect();
                Ok(self.raise_floor(floor, precondition, eras))
            }
            (Waiting::Raised(floor, eras), PruneAnswer::Updated(updated)) => {
                updated?;
                Ok(self.delete_below(&floor, eras))
            }
            (Waiting::Layout(era), PruneAnswer::Read(read)) => match read {
                Ok(object) => Ok(self.delete_era(era, &object)),
                Err(PlatformError::NotFound) => Ok(self.next_era()),
                Err(error) => Err(error),
            },
            (Waiting::Object(name), PruneAnswer::Read(read)) => match read {
                Ok(object) => Ok(Some(PruneCall::Delete(name, object.version))),
                Err(PlatformError::NotFound) => Ok(self.next_object()),
                Err(error) => Err(error),
            },
            (Waiting::Deleted, PruneAnswer::Deleted(deleted)) => match deleted {
                // After a lost answer or a concurrent change, the next pass deletes the object.
                Ok(()) | Err(PlatformError::NotFound) => Ok(self.next_object()),
                Err(error) => Err(error),
            },
            (_, PruneAnswer::Read(_) | PruneAnswer::Listed(_)) => Ok(None),
            (_, PruneAnswer::Updated(_) | PruneAnswer::Deleted(_)) => Ok(None),
        }
    }

    /// Raises the floor as far as both this VM's clock and the newest era in the ledger allow.
    fn raise_floor(
        &mut self,
        floor: LedgerFloor,
        precondition: Precondition,
        eras: Vec<Era>,
    ) -> Option<PruneCall> {
        // A clock that runs ahead must not empty the ledger, so an era is pruned only if a layout
        // exists that is newer by the retention period.
        let newest_ms = eras.iter().max().map_or(0, |era| era * ERA_MS);
        let oldest_kept_by_ledger = era_of(newest_ms.saturating_sub(self.retained_ms));
        let target = LedgerFloor { first_open: self.oldest_kept.min(oldest_kept_by_ledger) };
        if target.first_open <= floor.first_open {
            return self.delete_below(&floor, eras);
        }
        let value = serde_json::to_value(&target).expect("a floor is plain JSON");
        self.waiting = Waiting::Raised(target, eras);
        Some(PruneCall::Update(floor_name(), precondition, value))
    }

    fn delete_below(&mut self, floor: &LedgerFloor, eras: Vec<Era>) -> Option<PruneCall> {
        self.eras = eras.into_iter().filter(|era| *era < floor.first_open).collect();
        self.next_era()
    }

    fn next_era(&mut self) -> Option<PruneCall> {
        let era = self.eras.pop_front()?;
        self.waiting = Waiting::Layout(era);
        Some(PruneCall::Read(layout_name(era)))
    }

    fn delete_era(&mut self, era: Era, object: &Object) -> Option<PruneCall> {
        if let Some(layout) = EraLayout::read(object) {
            self.objects = layout.objects(era).collect();
        }
        // The layout is deleted last: the next pass needs it to find the objects that remain if
        // this pass ends early.
        self.objects.push_back(layout_name(era));
        self.next_object()
    }

    fn next_object(&mut self) -> Option<PruneCall> {
        let Some(name) = self.objects.pop_front() else { return self.next_era() };
        self.waiting = Waiting::Object(name.clone());
        Some(PruneCall::Read(name))
    }
}
