//! The checker that compares the executions of each key with the answers that callers got.

use std::collections::{BTreeMap, BTreeSet};

use crate::outcome::Certainty;
use crate::submission::record::SubmissionAttempt;
use crate::submission::request::{SubmissionResult, WaiterId};

/// The id of a process; a restarted VM runs a new one.
pub(super) type ProcessId = u64;

/// A caller's request with its answer.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) key: String,
    pub(super) body: u64,
    pub(super) process: ProcessId,
    pub(super) attempt: Option<SubmissionAttempt>,
    pub(super) answer: Option<SubmissionResult>,
}

impl Request {
    fn answered_not_run(&self) -> bool {
        matches!(&self.answer, Some(Err(refusal)) if refusal.certainty() == Certainty::NotRun)
    }
}

/// One execution of a submission by an upstream.
#[derive(Debug, Clone)]
struct Execution {
    key: String,
    body: u64,
    attempt: SubmissionAttempt,
}

/// A violated guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Violation {
    /// A key was executed twice.
    TwoExecutions,
    /// A request was answered as "not run" although its submission was executed.
    FalseNotRun,
    /// A request was answered with a receipt that no execution of its key and body returned.
    WrongReceipt,
}

/// The requests and executions of a simulation, and the violations among them.
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

    /// Records an execution and returns the upstream's receipt.
    pub(super) fn record_execution(
        &mut self,
        process: ProcessId,
        attempt: SubmissionAttempt,
        key: &str,
        body: u64,
    ) -> String {
        if self.executions_of(key) > 0 {
            self.violations.insert(Violation::TwoExecutions);
        }
        let mut matching = self.requests.values().filter(|it| it.key == key && it.body == body);
        // Valid only if at least one request at the same process was not answered as "not run".
        if !matching.any(|request| request.process == process && !request.answered_not_run()) {
            self.violations.insert(Violation::FalseNotRun);
        }
        self.executions.push(Execution { key: key.to_owned(), body, attempt });
        receipt_of(key, body, attempt)
    }

    /// Records the answer to the request of `waiter_id`.
    pub(super) fn record_answer(&mut self, waiter_id: WaiterId, result: SubmissionResult) {
        let request = self.requests.get_mut(&waiter_id).expect("the request was submitted");
        assert!(request.answer.is_none(), "a request is answered once: {request:?}, {result:?}");
        request.answer = Some(result);
        let request = request.clone();
        let ran = |it: &&Execution| it.key == request.key && it.body == request.body;
        match &request.answer {
            Some(Ok(done)) => {
                let mut ran = self.executions.iter().filter(ran);
                if !ran.any(|it| receipt_of(&it.key, it.body, it.attempt) == done.receipt) {
                    self.violations.insert(Violation::WrongReceipt);
                }
            }
            Some(Err(_)) if request.answered_not_run() => {
                let own = |it: &Execution| Some(it.attempt) == request.attempt;
                let own_ran = self.executions.iter().any(own);
                let same = |it: &&Request| it.key == request.key && it.body == request.body;
                let all_not_run =
                    self.requests.values().filter(same).all(Request::answered_not_run);
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
