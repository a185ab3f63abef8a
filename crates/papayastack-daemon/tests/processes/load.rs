//! Callers that query without a pause and check each answer.

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
/// The deadline of each query, in milliseconds; generous, since machines may be busy.
const DEADLINE_MS: u64 = 10_000;
/// Answers of each caller that count as progress.
const PROGRESS_ANSWERS: u64 = 20;

/// Callers at work; each ends with the first query that fails or is not whole.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<Caller>,
}

struct Caller {
    asked: Arc<AtomicU64>,
    task: JoinHandle<Result<(), String>>,
}

impl Load {
    /// Starts callers that use the callers' library.
    pub(crate) async fn spawn(system: &System, callers: usize) -> Self {
        let mut load = Self { stop: Arc::default(), callers: Vec::new() };
        let entries: Vec<_> =
            system.processes.iter().map(|process| process.listening.caller_address).collect();
        for _ in 0..callers {
            let client = CallerClient::open(entries.clone(), None).await;
            load.add(Way::Library(client));
        }
        load
    }

    /// Starts a caller for each address, which asks there only.
    pub(crate) fn spawn_at(addresses: Vec<SocketAddr>) -> Self {
        let mut load = Self { stop: Arc::default(), callers: Vec::new() };
        for address in addresses {
            load.add(Way::Direct(address));
        }
        load
    }

    fn add(&mut self, way: Way) {
        let (stop, asked) = (Arc::clone(&self.stop), Arc::new(AtomicU64::new(0)));
        let count = Arc::clone(&asked);
        let task = tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                way.ask().await?;
                count.fetch_add(1, Ordering::Relaxed);
            }
            Ok(())
        });
        self.callers.push(Caller { asked, task });
    }

    /// Waits until each caller has had some more answers, or has ended.
    pub(crate) async fn progress(&self) {
        let goal = |caller: &Caller| caller.asked.load(Ordering::Relaxed) + PROGRESS_ANSWERS;
        let goals: Vec<_> = self.callers.iter().map(goal).collect();
        for (caller, goal) in self.callers.iter().zip(goals) {
            wait_until("a caller goes on", async || {
                caller.asked.load(Ordering::Relaxed) >= goal || caller.task.is_finished()
            })
            .await;
        }
    }

    /// Lets each caller end with the query that is in flight.
    pub(crate) fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Ends the callers; panics if a query failed.
    pub(crate) async fn finish(self) {
        self.stop();
        for caller in self.callers {
            caller
                .task
                .await
                .expect("a caller does not panic")
                .expect("every query has a whole answer");
        }
    }
}

/// How a caller asks.
enum Way {
    Library(CallerClient),
    Direct(SocketAddr),
}

impl Way {
    async fn ask(&self) -> Result<(), String> {
        match self {
            Self::Library(client) => {
                let answer = client.query(sweep(), CallContext::default()).await;
                check(&answer.map_err(|error| error.to_string())?.answer)
            }
            Self::Direct(address) => ask_at(*address).await,
        }
    }
}

/// Asks one process, without retries, and checks the answer.
pub(crate) async fn ask_at(address: SocketAddr) -> Result<(), String> {
    let body = Bytes::from(serde_json::to_vec(&sweep()).expect("a query has string keys"));
    let (status, body) = call(Method::POST, address, QUERY_PATH, body).await?;
    let answer: QueryAnswer = serde_json::from_slice(&body)
        .map_err(|error| format!("status {status}, {error}: {}", String::from_utf8_lossy(&body)))?;
    check(&answer.answer)
}

fn sweep() -> QueryRequest {
    QueryRequest {
        service: QUERY_SERVICE.to_owned(),
        class: QueryClass::Sweep,
        selection: Selection::Terms(vec![vocabulary(QUERY_SERVICE)[0].to_owned()]),
        deadline_ms: Some(DEADLINE_MS),
        hits_limit: Some(HITS_LIMIT),
    }
}

/// Checks that an answer is complete and equal to a sequential search.
fn check(answer: &Answer) -> Result<(), String> {
    let coverage = answer.coverage();
    if coverage.complete().is_none() {
        return Err(format!("shards are missing: {:?}", coverage.missing()));
    }
    let partials = coverage.answered().iter().map(|shard| {
        let selection = sweep().selection;
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
    if equal { Ok(()) } else { Err("the answer differs from the naive search".to_owned()) }
}
