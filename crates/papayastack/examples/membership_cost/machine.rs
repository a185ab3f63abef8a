//! Facts about this machine and the resource use of this process, read from `/proc`.

use std::fs;

use serde_json::{Value, json};

const KIB: f64 = 1_024.0;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Returns the processor, memory, kernel and load of the machine for the report.
pub(crate) fn describe() -> Value {
    let cpu = read("/proc/cpuinfo");
    let model = cpu.lines().find_map(|line| line.strip_prefix("model name"));
    let memory = field("/proc/meminfo", "MemTotal:").unwrap_or_default() * KIB;
    json!({
        "processor": model.map(|text| text.trim_start_matches([' ', '\t', ':']).to_owned()),
        "cores": std::thread::available_parallelism().map_or(0, usize::from),
        "memory_bytes": memory,
        "kernel": read("/proc/sys/kernel/osrelease").trim(),
        "load_average_at_the_end": read("/proc/loadavg").trim(),
    })
}

/// Returns the processor time that this process has used, in seconds.
pub(crate) fn processor_seconds() -> f64 {
    let Ok(threads) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let nanoseconds = threads.filter_map(Result::ok).map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        text.split_whitespace().next().and_then(|it| it.parse::<f64>().ok()).unwrap_or_default()
    });
    nanoseconds.sum::<f64>() / NANOSECONDS_PER_SECOND
}

/// Returns the resident memory of this process in bytes.
pub(crate) fn resident_bytes() -> f64 {
    field("/proc/self/status", "VmRSS:").unwrap_or_default() * KIB
}

fn field(path: &str, name: &str) -> Option<f64> {
    let text = read(path);
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

fn read(path: &str) -> String {
    fs::read_to_string(path).unwrap_or_default()
}
