//! A server of one shard fails part of its requests with a sealed 404.

mod kit;

use kit::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const SHARDS: [&str; 3] = ["shard-a", "shard-b", "shard-c"];
const TOP: usize = 5;

fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let (store, mut gateways) = setting.deployment();
    let arrivals: Arrivals = Arc::default();
    for shard in SHARDS {
        for (number, zone) in ["centro-a", "centro-b"].into_iter().enumerate() {
            let fails = setting.with_trouble && shard == "shard-b" && number == 0;
            let (requests, records) = (AtomicU64::new(0), shard_records(shard));
            let id = format!("i-{shard}-{number}");
            let server = Server::start(&id, shard, zone, &arrivals, move |_| {
                let failure = b"no such index here, ask another one\n".to_vec();
                let takes = Duration::from_millis(5);
                // A third of its requests.
                if fails && requests.fetch_add(1, Ordering::Relaxed) % 3 == 0 {
                    return Work { takes, status: "404 Not Found", body: failure };
                }
                Work { takes, status: "200 OK", body: records.clone() }
            });
            store.put("servers", &id, &server.entry("ready"));
        }
    }
    let target = format!(
        "\"fanout_services\":[\"{}\"],\"top_k\":{TOP},\"min_shard_ratio\":0.6",
        SHARDS.join("\",\"")
    );
    let routes = [route("r-sweep", "/sweep/", "safe", 1200, 200, &target)];
    store.put("config", "main", &configuration(7, &routes, &SHARDS));
    setting.start(&mut gateways);
    let mut wrong = 0;
    for number in 0..80 {
        let gateway = &gateways[number % gateways.len()];
        let id = attempt_id();
        let sent = request("GET", "/sweep/2f", &id, 1200, &[]);
        let outcome = ask(gateway.front, &sent, Duration::from_secs(2));
        std::thread::sleep(Duration::from_millis(20));
        let Outcome::Answer(answer) = &outcome else {
            record.say(&format!("{id}: {}", outcome.text()));
            continue;
        };
        if !(200..300).contains(&answer.status()) {
            record.say(&format!("{id}: {}", outcome.text()));
            continue;
        }
        let arrived: Vec<Arrival> =
            arrivals.lock().unwrap().iter().filter(|it| it.id == id).cloned().collect();
        if let Some(why) = fault(answer, &arrived) {
            wrong += 1;
            record.say(&format!("{id}: {} answered {}, {why}", gateway.name, answer.status()));
            for Arrival { server, status, seal, .. } in arrived {
                record.say(&format!("    {server} had answered {status}, seal {seal}"));
            }
            let stamps = answer.header("papayastack-part-stamps").unwrap_or("");
            let missing = answer.header("papayastack-parts-missing").unwrap_or("");
            record.say(&format!(
                "    stamps {stamps}; missing {missing}; body {:?}",
                String::from_utf8_lossy(&answer.body)
            ));
        }
    }
    let failures = arrivals.lock().unwrap().iter().filter(|it| it.status >= 300).count();
    record.say(&format!(
        "80 requests sent, {failures} answers of servers were failures, {wrong} successes are wrong"
    ));
    wrong > 0
}

fn shard_records(shard: &str) -> Vec<u8> {
    (0..6)
        .flat_map(|number| format!("{number} of {shard:<9}\n").into_bytes().into_iter().take(16))
        .collect()
}

/// Returns what is wrong with a success, by the rule for queries over many shards.
fn fault(answer: &Message, arrived: &[Arrival]) -> Option<String> {
    let stamps = answer.header("papayastack-part-stamps").unwrap_or("");
    let stamps: Vec<&str> = stamps.split(',').map(str::trim).filter(|it| !it.is_empty()).collect();
    let mut parts = Vec::new();
    let mut services = BTreeSet::new();
    for stamp in &stamps {
        let Some(part) = arrived.iter().find(|it| it.seal == *stamp) else {
            return Some(format!("stamp {stamp} is of no answer to it"));
        };
        if !(200..300).contains(&part.status) {
            return Some(format!(
                "stamp {stamp} is of a failure, status {}, of {}",
                part.status, part.server
            ));
        }
        if !services.insert(part.server.rsplit_once('-').map(|it| it.0.to_owned())) {
            return Some("two stamps are of one service".to_owned());
        }
        parts.push(part);
    }
    let missing: usize =
        answer.header("papayastack-parts-missing").and_then(|it| it.parse().ok()).unwrap_or(0);
    if stamps.len() + missing != SHARDS.len() || stamps.is_empty() {
        return Some("stamps and missing parts do not make up the shards".to_owned());
    }
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|it| it.body.chunks_exact(16)).collect();
    records.sort_unstable_by(|one, other| other.cmp(one));
    records.truncate(TOP);
    (answer.body != records.concat()).then(|| "the body is not the greatest records".to_owned())
}

fn main() {
    run("error-parts", play)
}
