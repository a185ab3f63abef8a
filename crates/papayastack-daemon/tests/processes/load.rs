//! Callers that query continuously and check each answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use hyper::Method;
use papayastack::{
    Answer, CallContext, CallerClient, Hit, QUERY_PATH, QueryAnswer, QueryClass, QueryRequest,
    Selection,
};
use papayastack_standin::{naive_search, vocabulary};
use tokio::task::JoinHandle;

use crate::process::call;
use crate::system::{QUERY_SERVICE, SEED, System, wait_until};

const HITS_LIMIT: u32 = 5;
/// The deadline of each query in milliseconds; long, since the machine may be busy.
const DEADLINE_MS: u64 = 10_000;
/// The number of further answers after which a caller counts as making progress.
const PROGRESS_ANSWERS: u64 = 20;

/// Running callers; each one ends at its first failed query or incomplete answer.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<Caller>,
}

struct Caller {
    answers: Arc<AtomicU64>,
    task: JoinHandle<Result<(), String>>,
}

impl Load {
    /// Starts callers that use the client library with the addresses of all processes.
    pub(crate) async fn spawn(system: &System, callers: usize) -> Self {
        let mut load = Self { stop: Arc::default(), callers: Vec::new() };
        let entries: Vec<_> =
            system.processes.iter().map(|process| process.addresses.caller_address).collect();
        for _ in 0..callers {
            let client = CallerClient::open(entries.clone(), None).await;
            load.add(QueryTarget::Library(client));
        }
        load
    }

    /// Starts one caller for each address, which queries only that address.
    pub(crate) fn spawn_at(addresses: Vec<SocketAddr>) -> Self {
        let mut load = Self { stop: Arc::default(), callers: Vec::new() };
        for address in addresses {
            load.add(QueryTarget::Direct(address));
        }
        load
    }

    fn add(&mut self, target: QueryTarget) {
        let (stop, answers) = (Arc::clone(&self.stop), Arc::new(AtomicU64::new(0)));
        let count = Arc::clone(&answers);
        let task = tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                target.query().await?;
                count.fetch_add(1, Ordering::Relaxed);
            }
            Ok(())
        });
        self.callers.push(Caller { answers, task });
    }

    /// Waits until each caller has received [`PROGRESS_ANSWERS`] more answers or has ended.
    pub(crate) async fn wait_for_progress(&self) {
        let goal = |caller: &Caller| caller.answers.load(Ordering::Relaxed) + PROGRESS_ANSWERS;
        let goals: Vec<_> = self.callers.iter().map(goal).collect();
        for (caller, goal) in self.callers.iter().zip(goals) {
            wait_until("a caller makes progress", async || {
                caller.answers.load(Ordering::Relaxed) >= goal || caller.task.is_finished()
            })
            .await;
        }
    }

    /// Makes each caller end after the query that is in flight.
    pub(crate) fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Stops the callers and waits for them; panics if a query failed.
    pub(crate) async fn finish(self) {
        self.stop();
        for caller in self.callers {
            caller
                .task
                .await
                .expect("a caller does not panic")
                .expect("every query has a complete answer");
        }
    }
}

/// Where a caller sends its queries.
enum QueryTarget {
    Library(CallerClient),
    Direct(SocketAddr),
}

impl QueryTarget {
    async fn query(&self) -> Result<(), String> {
        match self {
            Self::Library(client) => {
                let answer = client.query(sweep_query(), CallContext::default()).await;
                check_answer(&answer.map_err(|error| error.to_string())?.answer)
            }
            Self::Direct(address) => query_at(*address).await,
        }
    }
}

/// Queries one process, without retries, and checks the answer.
pub(crate) async fn query_at(address: SocketAddr) -> Result<(), String> {
    let body = Bytes::from(serde_json::to_vec(&sweep_query()).expect("a query has string keys"));
    let (status, body) = call(Method::POST, address, QUERY_PATH, body).await?;
    let answer: QueryAnswer = serde_json::from_slice(&body)
        .map_err(|error| format!("status {status}, {error}: {}", String::from_utf8_lossy(&body)))?;
    check_answer(&answer.answer)
}

fn sweep_query() -> QueryRequest {
    QueryRequest {
        service: QUERY_SERVICE.to_owned(),
        class: QueryClass::Sweep,
        selection: Selection::Terms(vec![vocabulary(QUERY_SERVICE)[0].to_owned()]),
        deadline_ms: Some(DEADLINE_MS),
        hits_limit: Some(HITS_LIMIT),
    }
}

/// Checks that an answer is complete and equal to a sequential search.
fn check_answer(answer: &Answer) -> Result<(), String> {
    let coverage = answer.coverage();
    if coverage.complete().is_none() {
        return Err(format!("shards are missing: {:?}", coverage.missing()));
    }
    let partials = coverage.answered().iter().map(|shard| {
        let selection = sweep_query().selection;
        naive_search(SEED, QUERY_SERVICE, coverage.snapshot(), *shard, &selection, HITS_LIMIT)
    });
    let (mut hits, mut hits_total): (Vec<Hit>, _) = (Vec::new(), 0);
    for partial in partials {
        hits.extend(partial.hits);
        hits_total += partial.hits_total;
    }
    hits.sort_by(|one, other| other.score.cmp(&one.score).then_with(|| one.id.cmp(&other.id)));
    hits.truncate(HITS_LIMIT as usize);
    let verdict = answer.verdict();
    let equal = verdict.hits() == hits && verdict.hits_total() == hits_total;
    if equal { Ok(()) } else { Err("the answer differs from a sequential search".to_owned()) }
}
