//! The client of the callers' interface, with its background refresh of addresses.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::address_book::{AddressBook, VmObservation, jittered};
use super::attempt::HttpClient;
use super::call::{CallContext, PreparedCall};
use super::error::CallError;
use super::retry::{AttemptFailure, RetryBudget, RetryDecision, decide};
use crate::caller::protocol::{
    AddressesAnswer, QueryAnswer, QueryRequest, RefusalAnswer, SubmissionAnswer, SubmissionRequest,
};
use crate::caller::server::ADDRESSES_PATH;
use crate::ids::DataCentreName;
use crate::observe::IdSource;
use crate::outcome::{Certainty, DeliveryRecord, RefusalReason};

const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(50);

/// A client of the callers' interface that keeps the system's addresses up to date, spreads its
/// requests over the VMs, and retries where that is safe.
///
/// Dropping the client ends its refresh of addresses; dropping a call's future cancels the call.
#[derive(Debug)]
pub struct CallerClient {
    shared: Arc<Shared>,
    refresh: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    http: HttpClient,
    ids: IdSource,
    addresses_path: String,
    state: Mutex<State>,
    refresh_early: Notify,
}

#[derive(Debug)]
struct State {
    book: AddressBook,
    budget: RetryBudget,
    random: SmallRng,
}

impl CallerClient {
    /// Asks the VMs at `entry_addresses` which addresses a caller in `data_centre` should use,
    /// and refreshes the list in the background until the client is dropped.
    ///
    /// If no VM answers, opening succeeds nevertheless and the later calls report the failure.
    pub async fn open(
        entry_addresses: Vec<SocketAddr>,
        data_centre: Option<DataCentreName>,
    ) -> Self {
        let state = State {
            book: AddressBook::new(entry_addresses, Instant::now().into_std()),
            budget: RetryBudget::new(),
            random: SmallRng::from_os_rng(),
        };
        let shared = Arc::new(Shared {
            http: HttpClient::open(),
            ids: IdSource::open(),
            addresses_path: addresses_path(data_centre.as_deref()),
            state: Mutex::new(state),
            refresh_early: Notify::new(),
        });
        shared.refresh().await;
        let refresh = tokio::spawn(Arc::clone(&shared).refresh_loop());
        Self { shared, refresh }
    }

    /// Runs a query; a failed attempt is retried on other VMs within the deadline where that can
    /// help.
    ///
    /// # Errors
    /// The query was refused, no VM could be reached, or no answer came before the deadline.
    pub async fn query(
        &self,
        request: QueryRequest,
        context: CallContext,
    ) -> Result<QueryAnswer, CallError> {
        self.shared.call(&PreparedCall::query(request, context, &self.shared.ids)).await
    }

    /// Runs a submission. One with a key is retried under that key; one without a key is retried
    /// only if it certainly did not run.
    ///
    /// # Errors
    /// The submission was refused, no VM could be reached, or no answer came before the deadline.
    pub async fn submit(
        &self,
        request: SubmissionRequest,
        context: CallContext,
    ) -> Result<SubmissionAnswer, CallError> {
        self.shared.call(&PreparedCall::submission(request, context, &self.shared.ids)).await
    }

    /// Refreshes the addresses now and returns the VM's answer.
    ///
    /// # Errors
    /// No VM answered.
    pub async fn addresses(&self) -> Result<AddressesAnswer, CallError> {
        self.shared.fetch_addresses().await
    }
}

impl Drop for CallerClient {
    fn drop(&mut self) {
        self.refresh.abort();
    }
}

impl Shared {
    async fn call<T: DeserializeOwned>(&self, call: &PreparedCall) -> Result<T, CallError> {
        let deadline = Instant::now() + call.timeout();
        self.state().budget.add_tokens();
        let mut tried = BTreeSet::new();
        let mut delivery = DeliveryRecord::new();
        let mut attempts = 0;
        let mut last_failure = no_address();
        while let Some(address) = self.choose(&tried) {
            tried.insert(address);
            attempts += 1;
            last_failure = match self.attempt(address, call, attempts, deadline).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if may_have_run(&last_failure) {
                delivery.sent_to(address.to_string());
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.decide(call, &last_failure, attempts, remaining, &tried) {
                RetryDecision::GiveUp => break,
                RetryDecision::OtherAddress => {}
                RetryDecision::AfterPause(pause) => {
                    tokio::time::sleep(pause).await;
                    tried.clear();
                }
            }
        }
        Err(call_error(last_failure, delivery, call.request_id()))
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: &PreparedCall,
        attempt: u32,
        deadline: Instant,
    ) -> Result<T, AttemptFailure> {
        // A guard, because a dropped future must also end its request in the address book.
        let mut in_flight =
            InFlightRequest { shared: self, address, observation: VmObservation::Unknown };
        let result = self.http.send(address, call, attempt, deadline).await;
        in_flight.observation = vm_observation(result.as_ref().err(), Instant::now() >= deadline);
        result
    }

    fn decide(
        &self,
        call: &PreparedCall,
        failure: &AttemptFailure,
        attempts: u32,
        remaining: Duration,
        tried: &BTreeSet<SocketAddr>,
    ) -> RetryDecision {
        let mut state = self.state();
        let State { book, budget, random } = &mut *state;
        let has_untried_address = book.has_other(tried);
        match decide(call.kind(), failure, attempts, remaining, has_untried_address, budget) {
            RetryDecision::AfterPause(pause) => {
                RetryDecision::AfterPause(jittered(pause, random).min(remaining))
            }
            decision => decision,
        }
    }

    fn choose(&self, tried: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        let mut state = self.state();
        let State { book, random, .. } = &mut *state;
        book.choose(tried, Instant::now().into_std(), random)
    }

    fn finish_request(&self, address: SocketAddr, observation: &VmObservation) {
        let mut state = self.state();
        let State { book, random, .. } = &mut *state;
        if book.finish_request(address, observation, Instant::now().into_std(), random) {
            self.refresh_early.notify_one();
        }
    }

    async fn refresh_loop(self: Arc<Self>) {
        loop {
            let refresh_at = Instant::from_std(self.state().book.refresh_at());
            tokio::select! {
                () = tokio::time::sleep_until(refresh_at) => {}
                () = self.refresh_early.notified() => {}
            }
            self.refresh().await;
        }
    }

    async fn refresh(&self) {
        if let Err(error) = self.fetch_addresses().await {
            log::debug!(target: "papaya::client", "client: Cannot refresh the addresses: {error}.");
        }
    }

    async fn fetch_addresses(&self) -> Result<AddressesAnswer, CallError> {
        let order = {
            let mut state = self.state();
            let State { book, random, .. } = &mut *state;
            book.refresh_order(Instant::now().into_std(), random)
        };
        let mut last_failure = no_address();
        for address in order {
            let path = &self.addresses_path;
            match self.http.get::<AddressesAnswer>(address, path, REFRESH_TIMEOUT).await {
                Ok(answer) if !answer.addresses.is_empty() => {
                    let mut state = self.state();
                    let State { book, random, .. } = &mut *state;
                    book.replace_addresses(&answer, Instant::now().into_std(), random);
                    return Ok(answer);
                }
                Ok(_empty) => {
                    let detail = format!("{address} lists no VM that takes requests");
                    last_failure = AttemptFailure::NotConnected { detail };
                }
                Err(failure) => last_failure = failure,
            }
        }
        let mut state = self.state();
        let State { book, random, .. } = &mut *state;
        book.refresh_failed(Instant::now().into_std(), random);
        Err(call_error(last_failure, DeliveryRecord::new(), ""))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends a request in the address book when it is dropped.
struct InFlightRequest<'a> {
    shared: &'a Shared,
    address: SocketAddr,
    observation: VmObservation,
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.shared.finish_request(self.address, &self.observation);
    }
}

/// Derives the state of a VM from the end of an attempt; a missed deadline alone does not prove
/// that the VM is unreachable.
fn vm_observation(failure: Option<&AttemptFailure>, deadline_passed: bool) -> VmObservation {
    match failure {
        None | Some(AttemptFailure::Unexpected { .. }) => VmObservation::Alive,
        Some(AttemptFailure::NoAnswer { .. }) if deadline_passed => VmObservation::Unknown,
        Some(AttemptFailure::NotConnected { .. } | AttemptFailure::NoAnswer { .. }) => {
            VmObservation::Unreachable
        }
        Some(AttemptFailure::Refused(refusal)) => match refusal.reason() {
            RefusalReason::Leaving => VmObservation::Leaving,
            RefusalReason::Overloaded | RefusalReason::NotReady => VmObservation::Busy {
                retry_after: refusal.retry_after().unwrap_or(RETRY_AFTER_DEFAULT),
            },
            _ => VmObservation::Alive,
        },
    }
}

fn no_address() -> AttemptFailure {
    AttemptFailure::NotConnected { detail: "no address is known".to_owned() }
}

fn may_have_run(failure: &AttemptFailure) -> bool {
    match failure {
        AttemptFailure::NotConnected { .. } => false,
        AttemptFailure::NoAnswer { .. } | AttemptFailure::Unexpected { .. } => true,
        AttemptFailure::Refused(refusal) => refusal.certainty() == Certainty::OutcomeUnknown,
    }
}

/// Converts the last failure to the error of the call, which claims that the call did not run only
/// if that holds for every attempt.
fn call_error(failure: AttemptFailure, delivery: DeliveryRecord, request_id: &str) -> CallError {
    let none_ran = delivery.certainty() == Certainty::NotRun;
    match failure {
        AttemptFailure::NotConnected { detail } if none_ran => CallError::NotConnected { detail },
        AttemptFailure::NotConnected { detail } | AttemptFailure::NoAnswer { detail } => {
            CallError::NoAnswer { detail }
        }
        AttemptFailure::Unexpected { status, detail } => CallError::Unexpected { status, detail },
        AttemptFailure::Refused(refusal) => {
            let refusal = match none_ran || refusal.certainty() == Certainty::OutcomeUnknown {
                true => refusal,
                false => {
                    let detail = format!("{}; an earlier attempt may have run", refusal.detail());
                    delivery.refuse(refusal.reason(), detail, refusal.retry_after())
                }
            };
            CallError::Refused(RefusalAnswer { request_id: request_id.to_owned(), refusal })
        }
    }
}

fn addresses_path(data_centre: Option<&str>) -> String {
    match data_centre {
        None => ADDRESSES_PATH.to_owned(),
        Some(name) => format!("{ADDRESSES_PATH}?data_centre={}", percent_encoded(name)),
    }
}

fn percent_encoded(text: &str) -> String {
    let unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encode = |byte: u8| match unreserved(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    };
    text.bytes().map(encode).collect()
}
