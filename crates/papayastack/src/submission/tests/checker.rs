//! The checker that counts executions by key and compares them with what callers were told.

use std::collections::{BTreeMap, BTreeSet};

use crate::outcome::Certainty;
use crate::submission::record::SubmissionAttempt;
use crate::submission::request::{SubmissionResult, WaiterId};

/// One process of one VM.
pub(super) type Process = u64;

/// A caller's request, and what its caller was told.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) key: String,
    pub(super) body: u64,
    pub(super) process: Process,
    pub(super) attempt: Option<SubmissionAttempt>,
    pub(super) told: Option<SubmissionResult>,
}

impl Request {
    fn told_not_run(&self) -> bool {
        matches!(&self.told, Some(Err(refusal)) if refusal.certainty() == Certainty::NotRun)
    }
}

/// One run of a submission at an upstream.
#[derive(Debug, Clone)]
struct Execution {
    key: String,
    body: u64,
    attempt: SubmissionAttempt,
}

/// What was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Violation {
    /// A key was run twice.
    TwoExecutions,
    /// A caller was told "not run", but its submission ran.
    FalseNotRun,
    /// A caller was told another receipt than the upstream gave for its key and body.
    WrongReceipt,
}

/// Everything that callers and upstreams saw.
#[derive(Debug, Default)]
pub(super) struct Checker {
    pub(super) requests: BTreeMap<WaiterId, Request>,
    executions: Vec<Execution>,
    violations: BTreeSet<Violation>,
}

impl Checker {
    pub(super) fn violations(&self) -> BTreeSet<Violation> {
        self.violations.clone()
    }

    pub(super) fn executions(&self) -> usize {
        self.executions.len()
    }

    pub(super) fn executions_of(&self, key: &str) -> usize {
        self.executions.iter().filter(|execution| execution.key == key).count()
    }

    /// Records a run and returns the upstream's receipt.
    pub(super) fn executed(
        &mut self,
        process: Process,
        attempt: SubmissionAttempt,
        key: &str,
        body: u64,
    ) -> String {
        if self.executions_of(key) > 0 {
            self.violations.insert(Violation::TwoExecutions);
        }
        let mut askers = self.requests.values().filter(|it| it.key == key && it.body == body);
        // The run needs a request at the same VM that was not told "not run".
        if !askers.any(|request| request.process == process && !request.told_not_run()) {
            self.violations.insert(Violation::FalseNotRun);
        }
        self.executions.push(Execution { key: key.to_owned(), body, attempt });
        receipt_of(key, body, attempt)
    }

    /// Records what the caller of `waiter_id` is told.
    pub(super) fn told(&mut self, waiter_id: WaiterId, result: SubmissionResult) {
        let request = self.requests.get_mut(&waiter_id).expect("the waiter_id is known");
        assert!(request.told.is_none(), "a request is answered once: {request:?}, {result:?}");
        request.told = Some(result);
        let request = request.clone();
        let ran = |it: &&Execution| it.key == request.key && it.body == request.body;
        match &request.told {
            Some(Ok(done)) => {
                let mut ran = self.executions.iter().filter(ran);
                if !ran.any(|it| receipt_of(&it.key, it.body, it.attempt) == done.receipt) {
                    self.violations.insert(Violation::WrongReceipt);
                }
            }
            Some(Err(_)) if request.told_not_run() => {
                let own = |it: &Execution| Some(it.attempt) == request.attempt;
                let own_ran = self.executions.iter().any(own);
                let same = |it: &&Request| it.key == request.key && it.body == request.body;
                let all_not_run = self.requests.values().filter(same).all(Request::told_not_run);
                if own_ran || (all_not_run && self.executions.iter().any(|it| ran(&it))) {
                    self.violations.insert(Violation::FalseNotRun);
                }
            }
            Some(Err(_)) | None => {}
        }
    }
}

fn receipt_of(key: &str, body: u64, attempt: SubmissionAttempt) -> String {
    format!("{key} {body} {attempt}")
}
