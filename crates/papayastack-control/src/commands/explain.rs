//! The way of one request, from the decision lines of several VMs.

use std::path::PathBuf;

use serde_json::{Map, Value};

use super::{fail, print_json};
use crate::Exit;

/// What VMs believed, within this time before a request ended, is shown with it, in milliseconds.
const CONTEXT_MS: u64 = 5_000;
/// Events that change what a VM believes.
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

/// Prints all lines about `request`, and what its VM believed shortly before, in their order.
pub(crate) fn run(request: &str, logs: &[PathBuf], json: bool) -> Exit {
    let mut lines = Vec::new();
    for log in logs {
        match std::fs::read(log) {
            Ok(bytes) => lines.extend(String::from_utf8_lossy(&bytes).lines().filter_map(parsed)),
            Err(error) => return fail(&format!("cannot read {}: {error}", log.display())),
        }
    }
    lines.sort_by_key(unix_ms);
    let of_request = |line: &&Map<String, Value>| text(line, "request") == Some(request);
    let Some(last) = lines.iter().rfind(of_request) else {
        return fail(&format!(
            "no line names request `{request}`; lines of served requests are a sample, those of \
             failures and refusals are kept first"
        ));
    };
    let (end_ms, vm) = (unix_ms(last), text(last, "vm"));
    let about = |line: &&Map<String, Value>| {
        text(line, "request") == Some(request)
            || (text(line, "vm") == vm
                && text(line, "event").is_some_and(|event| CONTEXT_EVENTS.contains(&event))
                && (end_ms.saturating_sub(CONTEXT_MS)..=end_ms).contains(&unix_ms(line)))
    };
    let way: Vec<&Map<String, Value>> = lines.iter().filter(about).collect();
    if json {
        print_json(&way);
        return Exit::Success;
    }
    for line in way {
        let before_ms = end_ms.saturating_sub(unix_ms(line));
        let event = text(line, "event").unwrap_or("?");
        let vm = text(line, "vm").unwrap_or("?");
        println!("{before_ms:>6} ms before the end  {vm}  {event}  {}", rest(line));
    }
    Exit::Success
}

/// Reads a line; whatever stands before its JSON is passed over, and a torn line is left out.
fn parsed(line: &str) -> Option<Map<String, Value>> {
    serde_json::from_str(line.get(line.find('{')?..)?).ok()
}

fn unix_ms(line: &Map<String, Value>) -> u64 {
    line.get("unix_ms").and_then(Value::as_u64).unwrap_or(0)
}

fn text<'a>(line: &'a Map<String, Value>, field: &str) -> Option<&'a str> {
    line.get(field)?.as_str()
}

/// Returns the fields that are not shown otherwise.
fn rest(line: &Map<String, Value>) -> String {
    let shown = ["unix_ms", "vm", "event", "request", "lines_skipped", "lines_dropped"];
    let fields = line.iter().filter(|(name, _)| !shown.contains(&name.as_str()));
    fields.map(|(name, value)| format!("{name}={value}")).collect::<Vec<String>>().join(" ")
}
