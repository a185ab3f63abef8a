//! CONFIG: machines that have lost their links let a machine with an older configuration serve, so
//! that they go back to a version that they had left.

mod stand_ins;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use stand_ins::*;

const GATEWAYS: usize = 3;
/// The machine that is partitioned from the store; `core_cut` of the site: one machine, 5.5 s.
const BEHIND: usize = 2;
const STORE_CUT_FOR: u64 = 5_500;
/// How long after the ack the others lose their backends, and for how long.
const LINKS_CUT_AFTER: u64 = 1_500;
const LINKS_CUT_FOR: u64 = 3_000;
const ROLLBACK_SLACK: u64 = 250;
const CONFIG_APPLY: u64 = 3_000;

fn main() {
    let record = Record::open(Path::new(&std::env::args().nth(1).expect("the path of the record")));
    let folder = temporary_folder("5");
    let (store, runs) = (Store::start(), Runs::default());
    for service in ["board-1", "board-2"] {
        for n in 0..6 {
            let id = format!("i-{service}-{n}");
            Backend::start(&store, &runs, &id, service, answers(ms(6), service.as_bytes().to_vec()));
        }
    }
    let version = |number: u64, service: &str| {
        let routes = [route("r-1", "/board/", "safe", service, 1_200, 200)];
        configuration(number, &routes, &["board-1", "board-2"])
    };
    store.put("config", "main", version(3, "board-1"));
    let links: Vec<Arc<Links>> = (0..GATEWAYS).map(|_| Arc::default()).collect();
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|n| Gateway::start_at(&folder, &format!("front-{n}"), &store, store.open_for(&links[n])))
        .collect();
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(ms(10_000))) {
        record.line("a gateway did not start");
        finish(&record, gateways, &folder, NOT_RUN);
    }
    record.line(format!("{GATEWAYS} gateways are ready; version 3 sends /board/ to board-1"));
    let to: Vec<_> = gateways.iter().map(|gateway| gateway.caller).collect();
    let traffic = Traffic::start(to, vec![Kind("GET", "/board/grant", ms(1_200))], ms(20));
    thread::sleep(ms(4_000));
    let has_trouble = !without_trouble();
    if has_trouble {
        links[BEHIND].store_is_cut.store(true, Ordering::Release);
        record.line(format!("front-{BEHIND} is partitioned from the store"));
    }
    thread::sleep(ms(500));
    let acknowledged = store.put("config", "main", version(8, "board-2"));
    record.line("the store acknowledges version 8, which sends /board/ to board-2");
    thread::sleep(ms(LINKS_CUT_AFTER));
    let others = || links.iter().enumerate().filter(|(n, _)| *n != BEHIND).map(|(_, link)| link);
    if has_trouble {
        others().for_each(|link| link.is_cut.store(true, Ordering::Release));
        record.line("the other machines are partitioned from all backends");
    }
    thread::sleep(ms(LINKS_CUT_FOR));
    others().for_each(|link| link.is_cut.store(false, Ordering::Release));
    record.line("the others reach the backends again");
    thread::sleep(ms(STORE_CUT_FOR - 500 - LINKS_CUT_AFTER - LINKS_CUT_FOR));
    links[BEHIND].store_is_cut.store(false, Ordering::Release);
    record.line(format!("front-{BEHIND} reaches the store again"));
    thread::sleep(ms(3_000));
    let outcomes = traffic.stop();

    let body = |it: &Outcome| it.answer.as_ref().map(|(.., body)| body.clone()).unwrap_or_default();
    let (mut regressed, mut late) = (0, 0);
    // The machine that is cut off from the store is not in touch.
    for gateway in (0..GATEWAYS).filter(|gateway| *gateway != BEHIND) {
        let own: Vec<&Outcome> = outcomes.iter().filter(|it| it.gateway == gateway).collect();
        // A backend of board-2 saw the effect of version 8 through this machine by then.
        let Some(first) = own.iter().filter(|it| body(it) == b"board-2").map(|it| it.ended).min() else {
            record.line(format!("front-{gateway} never acted on version 8"));
            continue;
        };
        let old: Vec<&&Outcome> = own
            .iter()
            .filter(|it| it.sent > first + ms(ROLLBACK_SLACK) && body(it) == b"board-1")
            .collect();
        record.line(format!(
            "front-{gateway}: acted on version 8 at {:.3} s; sent later than {ROLLBACK_SLACK} ms after that \
             and run by board-1: {} of {}",
            record.seconds(first),
            old.len(),
            own.iter().filter(|it| it.sent > first + ms(ROLLBACK_SLACK)).count()
        ));
        if let (Some(one), Some(last)) = (old.first(), old.last()) {
            let (one, last) = (record.seconds(one.sent), record.seconds(last.sent));
            record.line(format!("  sent from {one:.3} to {last:.3} s"));
        }
        regressed += old.len();
        late += old.iter().filter(|it| it.sent > acknowledged + ms(CONFIG_APPLY)).count();
    }
    record.line(format!("statuses {:?}", statuses(outcomes.iter())));
    record.line(format!(
        "regressed: {regressed}; of these sent later than {CONFIG_APPLY} ms after the ack: {late}"
    ));
    let (count, all) = served(outcomes.iter());
    let code = match regressed {
        _ if all == 0 || count * 4 < all => NOT_RUN,
        0 => OK,
        _ => BROKEN,
    };
    finish(&record, gateways, &folder, code);
}
