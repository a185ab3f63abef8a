//! The decision log: one JSON line per event, rate-limited by kind and written without blocking.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use papayastack_macros::closed_set;
use serde_json::{Value, json};

/// Maximum number of lines queued for standard output.
const QUEUE_MAX_LINES: usize = 2_048;
/// The size in bytes at which a batch of lines is written.
const WRITE_MAX_BYTES: usize = 32 * 1024;
/// The period over which the lines of a kind are counted.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// The most names of VMs or upstreams in one line; a line then stays short in a system of any size.
pub(crate) const NAMES_PER_LINE_MAX: usize = 8;

/// Returns the first names of a list, as many as a line may hold.
pub(crate) fn first_names<T>(names: &[T]) -> &[T] {
    &names[..names.len().min(NAMES_PER_LINE_MAX)]
}

/// The kinds of events in the decision log.
#[closed_set]
pub enum DecisionEvent {
    /// The process has started.
    Started,
    /// The process was told to stop.
    Stopping,
    /// The process is about to exit.
    Stopped,
    /// The settings were reloaded.
    Reloaded,
    /// A version of the routes was put in force.
    RoutesInForce,
    /// A document of routes was ignored.
    RoutesIgnored,
    /// An upstream became usable.
    UpstreamUsable,
    /// An upstream is no longer used.
    UpstreamUnusable,
    /// An upstream that is gone from the store is still used for a limited time.
    UpstreamHeld,
    /// An upstream is avoided for a limited time, since several VMs found it silent.
    UpstreamSilent,
    /// An upstream refused a request and wants no other one for a time.
    UpstreamRefuses,
    /// An upstream named a limit on its requests, changed it, or named none any more.
    UpstreamLimited,
    /// This VM reaches none of the upstreams.
    LinksLost,
    /// This VM reaches upstreams again.
    LinksRegained,
    /// A request was sent to another VM to serve it.
    RequestRelayed,
    /// The store's entry of an upstream was ignored.
    UpstreamIgnored,
    /// The store stopped answering.
    StoreLost,
    /// The store answers again.
    StoreRegained,
    /// A feed reads everything from the store again instead of only the changes.
    FeedRelisted,
    /// Another VM reads the store for this one from now on.
    FeedFollowed,
    /// No other VM reads the store for this one any more.
    FeedUnfollowed,
    /// A VM that reads the store did not tell this one what has changed.
    FeedRefused,
    /// The set of live VMs or of reachable regions, as this VM sees it, has changed.
    MembersChanged,
    /// A request got a complete answer within its latency goal.
    RequestServed,
    /// A request got a complete answer, but after its latency goal.
    RequestLate,
    /// A request got an answer that lacks some shards.
    RequestPartial,
    /// A request was refused without having run.
    RequestRefused,
    /// A request failed; it may have run.
    RequestFailed,
    /// A request ended without an answer while this VM was leaving.
    RequestCut,
    /// An attempt at an upstream gave no answer.
    AttemptFailed,
}

impl DecisionEvent {
    /// All kinds.
    pub const ALL: [Self; 30] = [
        Self::Started,
        Self::Stopping,
        Self::Stopped,
        Self::Reloaded,
        Self::RoutesInForce,
        Self::RoutesIgnored,
        Self::UpstreamUsable,
        Self::UpstreamUnusable,
        Self::UpstreamHeld,
        Self::UpstreamSilent,
        Self::UpstreamRefuses,
        Self::UpstreamLimited,
        Self::LinksLost,
        Self::LinksRegained,
        Self::RequestRelayed,
        Self::UpstreamIgnored,
        Self::StoreLost,
        Self::StoreRegained,
        Self::FeedRelisted,
        Self::FeedFollowed,
        Self::FeedUnfollowed,
        Self::FeedRefused,
        Self::MembersChanged,
        Self::RequestServed,
        Self::RequestLate,
        Self::RequestPartial,
        Self::RequestRefused,
        Self::RequestFailed,
        Self::RequestCut,
        Self::AttemptFailed,
    ];

    /// Returns the most lines of this kind in one second; failures and refusals have higher limits
    /// than the far more frequent successes.
    fn lines_per_second_max(self) -> u32 {
        match self {
            Self::RequestServed => 2,
            Self::RequestLate
            | Self::RequestPartial
            | Self::UpstreamSilent
            | Self::UpstreamRefuses
            | Self::UpstreamLimited
            | Self::RequestRelayed => 10,
            Self::UpstreamUsable | Self::UpstreamUnusable => 100,
            _ => 40,
        }
    }
}

/// Writes decision lines to standard output through a bounded queue.
#[derive(Debug)]
pub struct DecisionLog {
    process: String,
    lines: Option<SyncSender<String>>,
    rates: Mutex<BTreeMap<DecisionEvent, Rate>>,
    dropped: AtomicU64,
    dropped_total: AtomicU64,
}

#[derive(Debug)]
struct Rate {
    period_started: Instant,
    lines: u32,
    skipped: u64,
}

impl DecisionLog {
    /// Opens the log of a process and starts a thread that writes to standard output, so that only
    /// this thread waits for a slow reader.
    pub fn open(process: &str) -> Arc<Self> {
        let (sender, lines) = sync_channel(QUEUE_MAX_LINES);
        let spawned = std::thread::Builder::new()
            .name("decision-log".to_owned())
            .spawn(move || write_lines(&lines));
        if let Err(error) = &spawned {
            log::error!(
                target: "papaya::observe",
                "observe: Cannot start the thread of the decision log: {error}. No decision lines \
                 are written."
            );
        }
        Self::with_sender(process, spawned.is_ok().then_some(sender))
    }

    /// Opens a log and returns it with the receiver of its lines, for tests.
    #[cfg(test)]
    pub(crate) fn with_lines(process: &str) -> (Arc<Self>, Receiver<String>) {
        let (sender, lines) = sync_channel(QUEUE_MAX_LINES);
        (Self::with_sender(process, Some(sender)), lines)
    }

    /// Opens a log that writes nothing.
    pub fn disabled() -> Arc<Self> {
        Self::with_sender("", None)
    }

    /// Queues one line without blocking, unless its kind has reached its limit for this second.
    ///
    /// `fields` returns an object; the next line of the kind states how many lines were skipped.
    pub fn write(&self, event: DecisionEvent, fields: impl FnOnce() -> Value) {
        let Some(lines) = &self.lines else { return };
        let Some(skipped) = self.admit(event) else { return };
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
        let mut line = json!({ "unix_ms": unix_ms, "vm": self.process, "event": event });
        if skipped > 0 {
            line["lines_skipped"] = json!(skipped);
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line["lines_dropped"] = json!(dropped);
        }
        if let (Value::Object(line), Value::Object(fields)) = (&mut line, fields()) {
            line.extend(fields);
        }
        if lines.try_send(format!("{line}\n")).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
            self.dropped_total.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many lines were skipped or dropped since the start.
    pub fn dropped_total(&self) -> u64 {
        self.dropped_total.load(Ordering::Relaxed)
    }

    fn with_sender(process: &str, lines: Option<SyncSender<String>>) -> Arc<Self> {
        Arc::new(Self {
            process: process.to_owned(),
            lines,
            rates: Mutex::new(BTreeMap::new()),
            dropped: AtomicU64::new(0),
            dropped_total: AtomicU64::new(0),
        })
    }

    /// Returns how many lines of the kind were skipped since the last one; `None` if the kind has
    /// reached its limit.
    fn admit(&self, event: DecisionEvent) -> Option<u64> {
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let fresh = || Rate { period_started: now, lines: 0, skipped: 0 };
        let rate = rates.entry(event).or_insert_with(fresh);
        if now.saturating_duration_since(rate.period_started) >= RATE_PERIOD {
            rate.period_started = now;
            rate.lines = 0;
        }
        if rate.lines >= event.lines_per_second_max() {
            rate.skipped += 1;
            self.dropped_total.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        rate.lines += 1;
        Some(std::mem::take(&mut rate.skipped))
    }
}

/// Writes queued lines in batches until the log is dropped.
fn write_lines(lines: &Receiver<String>) {
    while let Ok(mut text) = lines.recv() {
        while text.len() < WRITE_MAX_BYTES
            && let Ok(line) = lines.try_recv()
        {
            text.push_str(&line);
        }
        let mut output = std::io::stdout().lock();
        // Standard output can no longer be written, for example because the reading process ended.
        if output.write_all(text.as_bytes()).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
