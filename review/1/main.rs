//! Servers fail part of the requests that they ran with a sealed 503 of their own.

mod kit;

use kit::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let (store, mut gateways) = setting.deployment();
    let arrivals: Arrivals = Arc::default();
    for (number, zone) in ["centro-a", "centro-b", "centro-c"].into_iter().enumerate() {
        let id = format!("i-ledger-{number}");
        let (requests, fails) = (AtomicU64::new(0), setting.with_trouble && number == 0);
        let server = Server::start(&id, "ledger", zone, &arrivals, move |_| {
            let takes = Duration::from_millis(20);
            // Two in five of the requests of one server: run, then failed. Not marked as not executed.
            if fails && requests.fetch_add(1, Ordering::Relaxed) % 5 < 2 {
                return Work {
                    takes,
                    status: "503 Service Unavailable",
                    body: b"failed after it was filed".to_vec(),
                };
            }
            Work { takes, status: "200 OK", body: b"filed".to_vec() }
        });
        store.put("servers", &id, &server.entry("ready"));
    }
    let routes = [route("r-file", "/file/", "unsafe", 5000, 800, "\"service\":\"ledger\"")];
    store.put("config", "main", &configuration(7, &routes, &["ledger"]));
    setting.start(&mut gateways);
    let (mut broken, mut doubled) = (0, 0);
    for number in 0..60 {
        let reminder = format!("reminder {number}");
        let mut runs = 0;
        // A client asks again once after a promise, with a new id, on a new connection.
        for attempt in 0..2 {
            let gateway = &gateways[(number + attempt) % gateways.len()];
            let id = attempt_id();
            let sent = request("POST", "/file/2f", &id, 5000, reminder.as_bytes());
            let outcome = ask(gateway.front, &sent, Duration::from_secs(6));
            let arrived: Vec<Arrival> =
                arrivals.lock().unwrap().iter().filter(|it| it.id == id).cloned().collect();
            let ran = arrived.iter().any(|it| it.ran);
            runs += usize::from(ran);
            let Outcome::Answer(answer) = &outcome else {
                record.say(&format!("{reminder}, {id}: {}", outcome.text()));
                break;
            };
            let promises = matches!(answer.status(), 408 | 421 | 429 | 503);
            if promises && ran {
                broken += 1;
                let at = &arrived[0];
                record.say(&format!("{reminder}, {id}: {} answered {}, but {} had run it (its own answer: {}, seal {})", gateway.name, answer.status(), at.server, at.status, at.seal));
            }
            if !promises {
                break;
            }
            thread::sleep(Duration::from_millis(150));
        }
        doubled += usize::from(runs > 1);
    }
    record.say(&format!("60 reminders sent: {broken} unsafe requests ran and were answered as not run; {doubled} reminders ran twice"));
    broken > 0
}

fn main() {
    run("failed-refusal", play)
}
