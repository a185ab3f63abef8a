//! A gateway gets SIGTERM; requests that arrive later than 3 s after it need longer than it has left.

mod kit;

use kit::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a server works on a request; the callers wait for 5 s.
const WORK: Duration = Duration::from_millis(2_700);
/// When the requests are sent, in milliseconds after the SIGTERM.
const SENT_MS: [u64; 4] = [3_050, 3_100, 3_150, 3_200];
const GRACE: Duration = Duration::from_secs(6);

fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let (store, mut gateways) = setting.deployment();
    let arrivals: Arrivals = Arc::default();
    for (number, zone) in ["centro-a", "centro-b", "centro-c", "centro-a"].into_iter().enumerate() {
        let id = format!("i-archive-{number}");
        let server = Server::start(&id, "archive", zone, &arrivals, |request| {
            let takes =
                if request.word(1).contains("long") { WORK } else { Duration::from_millis(5) };
            Work { takes, status: "200 OK", body: b"the history of one grant".to_vec() }
        });
        store.put("servers", &id, &server.entry("ready"));
    }
    let target = "\"service\":\"archive\"";
    let routes = [
        route("r-fetch", "/fetch/", "safe", 5000, 800, target),
        route("r-file", "/file/", "unsafe", 5000, 800, target),
    ];
    store.put("config", "main", &configuration(7, &routes, &["archive"]));
    setting.start(&mut gateways);
    // Clients with kept connections to the gateway; each has sent a request before.
    let front = gateways[0].front;
    let mut clients = Vec::new();
    for _ in 0..SENT_MS.len() * 2 {
        let Ok(mut connection) = Connection::open(front) else { cannot_run("no connection") };
        let id = attempt_id();
        let first =
            connection.ask(&request("GET", "/fetch/short", &id, 5000, &[]), Duration::from_secs(2));
        if !matches!(&first, Outcome::Answer(answer) if answer.status() == 200) {
            cannot_run(&format!("a request before the stop failed: {}", first.text()));
        }
        clients.push(connection);
    }
    thread::sleep(Duration::from_secs(2));
    let stopped = Instant::now();
    if setting.with_trouble {
        gateways[0].signal("TERM");
        record.say(&format!("SIGTERM to {}", gateways[0].name));
    }
    let mut waiting = Vec::new();
    for (number, mut connection) in clients.into_iter().enumerate() {
        let due = stopped + Duration::from_millis(SENT_MS[number / 2]);
        let (record, is_unsafe) = (Arc::clone(record), number % 2 == 1);
        waiting.push(thread::spawn(move || {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let id = attempt_id();
            let bytes = if is_unsafe {
                request("POST", "/file/long", &id, 5000, b"a report")
            } else {
                request("GET", "/fetch/long", &id, 5000, &[])
            };
            let sent = Instant::now();
            let outcome = connection.ask(&bytes, Duration::from_secs(6));
            let kind = if is_unsafe { "POST, unsafe" } else { "GET, safe" };
            let ms = |at: Instant| at.saturating_duration_since(stopped).as_millis();
            record.say(&format!(
                "{id} ({kind}): sent {} ms after the SIGTERM, ended {} ms after it: {}",
                ms(sent),
                ms(Instant::now()),
                outcome.text()
            ));
            (id, sent, Instant::now(), outcome)
        }));
    }
    let mut cut = 0;
    for client in waiting {
        let Ok((id, sent, ended, outcome)) = client.join() else { continue };
        let ran = arrivals.lock().unwrap().iter().any(|it| it.id == id && it.ran);
        // The rule: passed on to a server, ended with no complete answer, within the planned work, sent
        // later than the excuse, and before the caller's deadline.
        let counts = ran
            && matches!(outcome, Outcome::Cut(_))
            && sent > stopped + Duration::from_secs(3)
            && ended < stopped + GRACE + Duration::from_secs(1)
            && ended < sent + Duration::from_millis(5000);
        record.say(&format!("{id}: passed on to a server and run: {ran}; lost: {counts}"));
        cut += usize::from(counts);
    }
    record.say(&format!("{} requests sent, {cut} lost", SENT_MS.len() * 2));
    if setting.with_trouble {
        record.say(&format!("the gateway has ended: {}", gateways[0].has_ended()));
    }
    cut > 0
}

fn main() {
    run("late-stop", play)
}
