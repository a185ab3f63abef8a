//! Prints the events of one request from the decision logs of several VMs.

use std::path::PathBuf;

use serde_json::{Map, Value};

use super::{fail, print_json};
use crate::Exit;

/// Context events are shown if they happened at most this long before the end of the request, in
/// milliseconds.
const CONTEXT_MS: u64 = 5_000;
/// Events that change a VM's view of the store, the routes, its peers or its upstreams.
const CONTEXT_EVENTS: [&str; 10] = [
    "started",
    "stopping",
    "stopped",
    "reloaded",
    "routes_in_force",
    "store_lost",
    "store_regained",
    "members_changed",
    "upstream_unusable",
    "upstream_held",
];

/// Prints all log lines of `request` and the preceding context events of its VM, by time.
pub(crate) fn run(request: &str, logs: &[PathBuf], json: bool) -> Exit {
    let mut lines = Vec::new();
    for log in logs {
        match std::fs::read(log) {
            Ok(bytes) => {
                lines.extend(String::from_utf8_lossy(&bytes).lines().filter_map(parse_line))
            }
            Err(error) => return fail(&format!("cannot read {}: {error}", log.display())),
        }
    }
    lines.sort_by_key(unix_ms);
    let of_request = |line: &&Map<String, Value>| text_field(line, "request") == Some(request);
    let Some(last) = lines.iter().rfind(of_request) else {
        return fail(&format!(
            "no log line names request `{request}`; served requests are logged as a sample, \
             failures and refusals with priority"
        ));
    };
    let (end_ms, vm) = (unix_ms(last), text_field(last, "vm"));
    let is_related = |line: &&Map<String, Value>| {
        text_field(line, "request") == Some(request)
            || (text_field(line, "vm") == vm
                && text_field(line, "event").is_some_and(|event| CONTEXT_EVENTS.contains(&event))
                && (end_ms.saturating_sub(CONTEXT_MS)..=end_ms).contains(&unix_ms(line)))
    };
    let related_lines: Vec<&Map<String, Value>> = lines.iter().filter(is_related).collect();
    if json {
        print_json(&related_lines);
        return Exit::Success;
    }
    for line in related_lines {
        let before_ms = end_ms.saturating_sub(unix_ms(line));
        let event = text_field(line, "event").unwrap_or("?");
        let vm = text_field(line, "vm").unwrap_or("?");
        println!("{before_ms:>6} ms before the end  {vm}  {event}  {}", other_fields(line));
    }
    Exit::Success
}

/// Parses a log line, ignoring any text before its JSON; returns `None` for an incomplete line.
fn parse_line(line: &str) -> Option<Map<String, Value>> {
    serde_json::from_str(line.get(line.find('{')?..)?).ok()
}

fn unix_ms(line: &Map<String, Value>) -> u64 {
    line.get("unix_ms").and_then(Value::as_u64).unwrap_or(0)
}

fn text_field<'a>(line: &'a Map<String, Value>, field: &str) -> Option<&'a str> {
    line.get(field)?.as_str()
}

/// Returns the fields that have no column of their own.
fn other_fields(line: &Map<String, Value>) -> String {
    let shown = ["unix_ms", "vm", "event", "request", "lines_skipped", "lines_dropped"];
    let fields = line.iter().filter(|(name, _)| !shown.contains(&name.as_str()));
    fields.map(|(name, value)| format!("{name}={value}")).collect::<Vec<String>>().join(" ")
}
