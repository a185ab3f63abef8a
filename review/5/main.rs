//! The store loses the answer to one watch of a gateway.

mod kit;

use kit::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(4_000);

fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let (store, mut gateways) = setting.deployment();
    let arrivals: Arrivals = Arc::default();
    let server = |number: usize, zone: &str| {
        let id = format!("i-archive-{number}");
        Server::start(&id, "archive", zone, &arrivals, |_| Work {
            takes: Duration::from_millis(5),
            status: "200 OK",
            body: b"the history of one grant".to_vec(),
        })
    };
    // All in one zone, so that each gateway uses all of them.
    let servers: Vec<Arc<Server>> =
        ["centro-b", "centro-b"].into_iter().enumerate().map(|(n, zone)| server(n, zone)).collect();
    for it in &servers {
        store.put("servers", &it.id, &it.entry("ready"));
    }
    let routes = [route("r-fetch", "/fetch/", "safe", 5000, 800, "\"service\":\"archive\"")];
    store.put("config", "main", &configuration(7, &routes, &["archive"]));
    setting.start(&mut gateways);
    // News, after which only the gateways that read the store for themselves or others watch again.
    let third = server(2, "centro-b");
    store.put("servers", &third.id, &third.entry("ready"));
    thread::sleep(Duration::from_secs(4));
    let watchers = store.watchers("servers");
    record.say(&format!("gateways that watch the servers' entries: {watchers:?}"));
    let Some(chosen) = watchers.first().copied() else { cannot_run("no gateway watches") };
    let asked = |label: &str, gateways: &[Gateway], requests: usize| {
        let mut served = 0;
        for number in 0..requests {
            let sent = request("GET", "/fetch/2f", &attempt_id(), 5000, &[]);
            let outcome =
                ask(gateways[number % gateways.len()].front, &sent, Duration::from_secs(2));
            served +=
                usize::from(matches!(&outcome, Outcome::Answer(answer) if answer.status() == 200));
            thread::sleep(Duration::from_millis(10));
        }
        record.say(&format!("{label}: {served} of {requests} requests served"));
    };
    asked("before", &gateways, 24);
    let lost_before = store.lost.load(Ordering::Relaxed);
    let answers_before = store.answers.load(Ordering::Relaxed);
    let lossy_from = Instant::now();
    if setting.with_trouble {
        *store.loses.lock().unwrap() = Some((chosen, "servers".to_owned()));
    }
    // A fourth server starts: news for each watch.
    let fourth = server(3, "centro-b");
    store.put("servers", &fourth.id, &fourth.entry("ready"));
    record.say(&format!("{} starts", fourth.id));
    thread::sleep(Duration::from_millis(1_500));
    *store.loses.lock().unwrap() = None;
    record.say(&format!(
        "the store was lossy for {} ms: {} answers lost, {} given",
        lossy_from.elapsed().as_millis(),
        store.lost.load(Ordering::Relaxed) - lost_before,
        store.answers.load(Ordering::Relaxed) - answers_before
    ));
    // All machines are in touch again after `contact_ms`.
    thread::sleep(CONTACT + Duration::from_secs(2));
    let drains = &servers[0];
    drains.leaving.store(true, Ordering::Relaxed);
    store.put("servers", &drains.id, &drains.entry("draining"));
    let drained = Instant::now();
    record.say(&format!("{} drains, acknowledged by the store", drains.id));
    thread::sleep(DRAIN + Duration::from_millis(500));
    for (number, gateway) in gateways.iter().enumerate() {
        asked(&format!("gateway {number}"), std::slice::from_ref(gateway), 24);
    }
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<u128> = arrivals
        .iter()
        .filter(|it| it.server == drains.id && it.ran && it.at > drained + DRAIN)
        .map(|it| it.at.saturating_duration_since(drained).as_millis())
        .collect();
    record.say(&format!(
        "requests at {} later than {} ms after the ack, in ms after it: {late:?}",
        drains.id,
        DRAIN.as_millis()
    ));
    !late.is_empty()
}

fn main() {
    run("lost-watch", play)
}
