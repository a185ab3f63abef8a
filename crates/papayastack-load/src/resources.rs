//! CPU time and memory of this process, read from `/proc`.

use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The threads of one runtime, by kernel thread id.
#[derive(Debug, Clone, Default)]
pub(crate) struct ThreadGroup {
    ids: Arc<Mutex<Vec<u32>>>,
}

impl ThreadGroup {
    /// Adds the calling thread.
    pub(crate) fn add_current_thread(&self) {
        if let Some(id) = current_thread_id() {
            self.ids.lock().expect("no holder of the lock panics").push(id);
        }
    }

    /// Returns the CPU time used so far by the threads of the group that still run.
    pub(crate) fn cpu_time(&self) -> Duration {
        let ids = self.ids.lock().expect("no holder of the lock panics");
        ids.iter().filter_map(|id| thread_cpu_time(*id)).sum()
    }
}

/// Returns the resident memory of this process in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

fn current_thread_id() -> Option<u32> {
    let link = std::fs::read_link("/proc/thread-self").ok()?;
    link.file_name()?.to_str()?.parse().ok()
}

fn thread_cpu_time(id: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/self/task/{id}/schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}
