//! The state of one stand-in upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use papayastack::{AttemptId, QueryId, SearchReply, ShardId, SnapshotVersion};
use papayastack_macros::message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, Semaphore};

use super::behaviour::{LoadReport, UpstreamBehaviour};
use super::standin::UpstreamSpec;
use crate::index::{Document, shard_documents};
use crate::server::ConnectionGate;

/// The counters of a stand-in upstream since its start.
#[message]
#[derive(Default)]
pub struct UpstreamCounts {
    /// Searches received.
    pub searches_received: u64,
    /// Searches that got a slot.
    pub searches_executed: u64,
    /// Searches and submissions refused because the queue was full or a fault shed them.
    pub shed: u64,
    /// Searches stopped by cancellation.
    pub cancelled: u64,
    /// Searches stopped by their deadline.
    pub expired: u64,
    /// Submissions that got a slot.
    pub submissions_executed: u64,
    /// The highest number of slots busy at once.
    pub slots_busy_peak: u32,
    /// The highest number of connections open at once.
    pub connections_peak: u64,
    /// Connections accepted.
    pub connections_accepted: u64,
    /// Connections closed on arrival because the limit was reached.
    pub connections_refused: u64,
}

/// The response to `GET /load`.
#[message]
pub(crate) struct Load {
    pub(crate) slots_busy: u32,
    pub(crate) slots: u32,
    pub(crate) queue: u32,
    pub(crate) draining: bool,
}

type AttemptKey = (QueryId, AttemptId);

/// The shared state of one stand-in upstream.
pub(crate) struct State {
    pub(crate) spec: UpstreamSpec,
    pub(crate) gate: Arc<ConnectionGate>,
    pub(crate) slots: Arc<Semaphore>,
    inner: Mutex<Inner>,
}

struct Inner {
    behaviour: UpstreamBehaviour,
    shards_by_snapshot: BTreeMap<SnapshotVersion, BTreeSet<ShardId>>,
    documents: BTreeMap<(SnapshotVersion, ShardId), Arc<Vec<Document>>>,
    running: BTreeMap<AttemptKey, Arc<Notify>>,
    executions: BTreeMap<String, u64>,
    earlier_reply: Option<SearchReply>,
    queue: u32,
    counts: UpstreamCounts,
    warm_at: Instant,
    cached_load: Option<(Instant, Load)>,
    random: StdRng,
}

/// The service time and the faults that were sampled for one request.
pub(crate) struct RequestFaults {
    pub(crate) service_time: Duration,
    pub(crate) shed: bool,
    pub(crate) lose_answer: bool,
    pub(crate) malformed: bool,
    pub(crate) crossed: bool,
}

impl State {
    /// Creates the state of an upstream that starts now.
    pub(crate) fn new(spec: UpstreamSpec, gate: Arc<ConnectionGate>) -> Self {
        let slots = Arc::new(Semaphore::new(usize::try_from(spec.slots).unwrap_or(usize::MAX)));
        let inner = Inner {
            warm_at: Instant::now() + Duration::from_millis(spec.behaviour.cold_ms),
            behaviour: spec.behaviour.clone(),
            shards_by_snapshot: spec.shards_by_snapshot.clone(),
            documents: BTreeMap::new(),
            running: BTreeMap::new(),
            executions: BTreeMap::new(),
            earlier_reply: None,
            queue: 0,
            counts: UpstreamCounts::default(),
            cached_load: None,
            random: StdRng::seed_from_u64(spec.fault_seed()),
        };
        Self { spec, gate, slots, inner: Mutex::new(inner) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn behaviour(&self) -> UpstreamBehaviour {
        self.lock().behaviour.clone()
    }

    /// Replaces the behaviour; a revived upstream, or one with a new `cold_ms`, becomes cold.
    pub(crate) fn set_behaviour(&self, behaviour: UpstreamBehaviour) {
        let mut inner = self.lock();
        let revived = inner.behaviour.dead && !behaviour.dead;
        if revived || inner.behaviour.cold_ms != behaviour.cold_ms {
            inner.warm_at = Instant::now() + Duration::from_millis(behaviour.cold_ms);
        }
        self.gate.set_reachable(!behaviour.dead);
        inner.behaviour = behaviour;
    }

    /// Adds a snapshot of which the upstream holds `shards`.
    pub(crate) fn add_snapshot(&self, snapshot: SnapshotVersion, shards: BTreeSet<ShardId>) {
        self.lock().shards_by_snapshot.insert(snapshot, shards);
    }

    /// Removes a snapshot with its documents.
    pub(crate) fn retire(&self, snapshot: SnapshotVersion) {
        let mut inner = self.lock();
        inner.shards_by_snapshot.remove(&snapshot);
        inner.documents.retain(|(version, _), _| *version != snapshot);
    }

    /// Returns the documents of a shard, or the refusal if the upstream does not hold the shard.
    pub(crate) fn documents(
        &self,
        snapshot: SnapshotVersion,
        shard: ShardId,
    ) -> Result<Arc<Vec<Document>>, SearchReply> {
        let mut inner = self.lock();
        let Some(shards) = inner.shards_by_snapshot.get(&snapshot) else {
            let newest =
                inner.shards_by_snapshot.last_key_value().map_or(0, |(version, _)| *version);
            return Err(SearchReply::SnapshotRetired { newest });
        };
        if !shards.contains(&shard) {
            return Err(SearchReply::WrongShard);
        }
        let make =
            || Arc::new(shard_documents(self.spec.seed, &self.spec.service, snapshot, shard));
        Ok(inner.documents.entry((snapshot, shard)).or_insert_with(make).clone())
    }

    /// Samples the service time and the faults of one request.
    pub(crate) fn sample_faults(&self) -> RequestFaults {
        let mut inner = self.lock();
        let behaviour = inner.behaviour.clone();
        let cold = Instant::now() < inner.warm_at;
        let random = &mut inner.random;
        let mut service_time = behaviour.service_time.sample(random);
        if sample_fault(random, behaviour.straggler_permille) {
            service_time *= behaviour.straggler_factor;
        }
        if cold {
            service_time *= behaviour.cold_factor;
        }
        RequestFaults {
            service_time,
            shed: sample_fault(random, behaviour.shed_permille),
            lose_answer: sample_fault(random, behaviour.lost_answer_permille),
            malformed: sample_fault(random, behaviour.malformed_permille),
            crossed: sample_fault(random, behaviour.crossed_permille),
        }
    }

    /// Counts a received search and registers it, so that it can be cancelled.
    pub(crate) fn register_search(&self, key: AttemptKey) -> Arc<Notify> {
        let stop = Arc::new(Notify::new());
        let mut inner = self.lock();
        inner.counts.searches_received += 1;
        inner.running.insert(key, Arc::clone(&stop));
        stop
    }

    /// Removes a search that has ended.
    pub(crate) fn unregister_search(&self, key: AttemptKey) {
        self.lock().running.remove(&key);
    }

    /// Stops a running search, unless the behaviour ignores cancellation.
    pub(crate) fn cancel(&self, key: AttemptKey) {
        let inner = self.lock();
        if inner.behaviour.ignores_cancel {
            return;
        }
        if let Some(stop) = inner.running.get(&key) {
            stop.notify_one();
        }
    }

    /// Enters the queue and returns whether it had room.
    pub(crate) fn enter_queue(&self) -> bool {
        let mut inner = self.lock();
        let room = inner.queue < inner.behaviour.queue_max;
        inner.queue += u32::from(room);
        room
    }

    pub(crate) fn leave_queue(&self) {
        self.lock().queue -= 1;
    }

    /// Changes the counters under the lock.
    pub(crate) fn count(&self, change: impl FnOnce(&mut UpstreamCounts)) {
        change(&mut self.lock().counts);
    }

    /// Changes the counters for a request that has just got a slot, and updates the peak of busy
    /// slots.
    pub(crate) fn count_started(&self, change: impl FnOnce(&mut UpstreamCounts)) {
        let busy = self.slots_busy();
        self.count(|counts| {
            counts.slots_busy_peak = counts.slots_busy_peak.max(busy);
            change(counts);
        });
    }

    /// Counts one execution of a submission and returns how often its key has run.
    pub(crate) fn count_execution(&self, key: &str) -> u64 {
        let mut inner = self.lock();
        let executions = inner.executions.entry(key.to_owned()).or_default();
        *executions += 1;
        *executions
    }

    /// Returns how often each submission key has run.
    pub(crate) fn executions(&self) -> BTreeMap<String, u64> {
        self.lock().executions.clone()
    }

    /// Stores a reply for later crossed answers and returns the one stored before.
    pub(crate) fn replace_earlier_reply(&self, reply: &SearchReply) -> Option<SearchReply> {
        self.lock().earlier_reply.replace(reply.clone())
    }

    /// Returns the counters, with those of the connections filled in from the gate.
    pub(crate) fn counts(&self) -> UpstreamCounts {
        let mut counts = self.lock().counts.clone();
        counts.connections_peak = self.gate.open_peak() as u64;
        counts.connections_accepted = self.gate.accepted();
        counts.connections_refused = self.gate.refused();
        counts
    }

    /// Returns the response to `GET /load`, which depends on the behaviour's `load_report`.
    pub(crate) fn load(&self) -> Load {
        let slots_busy = self.slots_busy();
        let mut inner = self.lock();
        let now = Instant::now();
        let actual = Load {
            slots_busy,
            slots: self.spec.slots,
            queue: inner.queue,
            draining: inner.behaviour.draining,
        };
        match inner.behaviour.load_report {
            LoadReport::Honest => actual,
            LoadReport::Lying { slots_busy, queue } => Load { slots_busy, queue, ..actual },
            LoadReport::Lagging { refresh_ms } => {
                let refresh = Duration::from_millis(refresh_ms);
                match &inner.cached_load {
                    Some((cached_at, load)) if now - *cached_at < refresh => load.clone(),
                    _ => {
                        inner.cached_load = Some((now, actual.clone()));
                        actual
                    }
                }
            }
        }
    }

    fn slots_busy(&self) -> u32 {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        self.spec.slots.saturating_sub(free)
    }
}

fn sample_fault(random: &mut StdRng, permille: u32) -> bool {
    permille > 0 && random.random_range(0..1_000) < permille
}
