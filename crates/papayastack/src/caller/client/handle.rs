//! The running handle of the callers' library.

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

use super::attempt::HttpClient;
use super::book::{AddressBook, Sign, jittered};
use super::call::{CallContext, PreparedCall};
use super::error::CallError;
use super::retry::{AttemptFailure, Decision, RetryBudget, decide};
use crate::caller::protocol::{
    AddressesAnswer, QueryAnswer, QueryRequest, RefusalAnswer, SubmissionAnswer, SubmissionRequest,
};
use crate::caller::server::ADDRESSES_PATH;
use crate::ids::DataCentreName;
use crate::observe::IdSource;
use crate::outcome::{Certainty, Custody, RefusalReason};

const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);
const BUSY_DEFAULT: Duration = Duration::from_millis(50);

/// A well-behaved caller: knows the system's addresses, spreads, and retries where that is safe.
///
/// Dropped, it stops; calls in flight are cancelled with their futures.
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
    /// and keeps asking while the handle lives.
    ///
    /// Where none of them answers yet, the calls themselves report it.
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
        let refresh = tokio::spawn(Arc::clone(&shared).keep_refreshed());
        Self { shared, refresh }
    }

    /// Runs a query; it is repeated elsewhere within its deadline where that can help.
    ///
    /// # Errors
    /// A refusal, no VM within reach, or no answer before the deadline.
    pub async fn query(
        &self,
        request: QueryRequest,
        context: CallContext,
    ) -> Result<QueryAnswer, CallError> {
        self.shared.call(&PreparedCall::query(request, context, &self.shared.ids)).await
    }

    /// Runs a submission; with a key it is repeated under that key, without one only where it
    /// was not run.
    ///
    /// # Errors
    /// A refusal, no VM within reach, or no answer before the deadline.
    pub async fn submit(
        &self,
        request: SubmissionRequest,
        context: CallContext,
    ) -> Result<SubmissionAnswer, CallError> {
        self.shared.call(&PreparedCall::submission(request, context, &self.shared.ids)).await
    }

    /// Asks a VM for the addresses now.
    ///
    /// # Errors
    /// No VM answered.
    pub async fn addresses(&self) -> Result<AddressesAnswer, CallError> {
        self.shared.ask_addresses().await
    }
}

impl Drop for CallerClient {
    fn drop(&mut self) {
        self.refresh.abort();
    }
}

impl Shared {
    async fn call<T: DeserializeOwned>(&self, call: &PreparedCall) -> Result<T, CallError> {
        let deadline = Instant::now() + call.wait();
        self.state().budget.earn();
        let mut tried = BTreeSet::new();
        let mut custody = Custody::new();
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
                custody.handed_to(address.to_string());
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.decide(call, &last_failure, attempts, remaining, &tried) {
                Decision::GiveUp => break,
                Decision::Elsewhere => {}
                Decision::After(pause) => {
                    tokio::time::sleep(pause).await;
                    tried.clear();
                }
            }
        }
        Err(call_error(last_failure, custody, call.request_id()))
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: &PreparedCall,
        attempt: u32,
        deadline: Instant,
    ) -> Result<T, AttemptFailure> {
        // A future that is dropped must still give its place at the address back.
        let mut slot = Slot { shared: self, address, sign: Sign::Unknown };
        let result = self.http.send(address, call, attempt, deadline).await;
        slot.sign = sign_of(result.as_ref().err(), Instant::now() >= deadline);
        result
    }

    fn decide(
        &self,
        call: &PreparedCall,
        failure: &AttemptFailure,
        attempts: u32,
        remaining: Duration,
        tried: &BTreeSet<SocketAddr>,
    ) -> Decision {
        let mut state = self.state();
        let State { book, budget, random } = &mut *state;
        let address_left = book.has_other(tried);
        match decide(call.kind(), failure, attempts, remaining, address_left, budget) {
            Decision::After(pause) => Decision::After(jittered(pause, random).min(remaining)),
            decision => decision,
        }
    }

    fn choose(&self, tried: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        let mut state = self.state();
        let State { book, random, .. } = &mut *state;
        book.choose(tried, Instant::now().into_std(), random)
    }

    fn finished(&self, address: SocketAddr, sign: &Sign) {
        let mut state = self.state();
        let State { book, random, .. } = &mut *state;
        if book.finished(address, sign, Instant::now().into_std(), random) {
            self.refresh_early.notify_one();
        }
    }

    async fn keep_refreshed(self: Arc<Self>) {
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
        if let Err(error) = self.ask_addresses().await {
            log::debug!(target: "papaya::client", "client: Cannot refresh the addresses: {error}.");
        }
    }

    async fn ask_addresses(&self) -> Result<AddressesAnswer, CallError> {
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
                    book.adopt(&answer, Instant::now().into_std(), random);
                    return Ok(answer);
                }
                Ok(_empty) => {
                    let detail = format!("{address} knows no VM that takes requests");
                    last_failure = AttemptFailure::NotConnected { detail };
                }
                Err(failure) => last_failure = failure,
            }
        }
        let mut state = self.state();
        let State { book, random, .. } = &mut *state;
        book.refresh_failed(Instant::now().into_std(), random);
        Err(call_error(last_failure, Custody::new(), ""))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Slot<'a> {
    shared: &'a Shared,
    address: SocketAddr,
    sign: Sign,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.shared.finished(self.address, &self.sign);
    }
}

/// Reads what an attempt says about its VM; a missed deadline alone does not make it dead.
fn sign_of(failure: Option<&AttemptFailure>, deadline_passed: bool) -> Sign {
    match failure {
        None | Some(AttemptFailure::Unexpected { .. }) => Sign::Alive,
        Some(AttemptFailure::NoAnswer { .. }) if deadline_passed => Sign::Unknown,
        Some(AttemptFailure::NotConnected { .. } | AttemptFailure::NoAnswer { .. }) => Sign::Dead,
        Some(AttemptFailure::Refused(refusal)) => match refusal.reason() {
            RefusalReason::Leaving => Sign::Leaving,
            RefusalReason::Overloaded | RefusalReason::NotReady => {
                Sign::Busy { retry_after: refusal.retry_after().unwrap_or(BUSY_DEFAULT) }
            }
            _ => Sign::Alive,
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

/// Reports the last failure; it says "not run" only where that holds for every attempt.
fn call_error(failure: AttemptFailure, custody: Custody, request_id: &str) -> CallError {
    let none_ran = custody.certainty() == Certainty::NotRun;
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
                    custody.refuse(refusal.reason(), detail, refusal.retry_after())
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
