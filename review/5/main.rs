//! CONFIG: machines that have lost their links let a machine with an older configuration serve, so
//! that they go back to a version that they had left.

mod stand_ins;

use std::collections::BTreeMap;
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
            Backend::start(
                &store,
                &runs,
                &id,
                service,
                answers(ms(6), service.as_bytes().to_vec()),
            );
        }
    }
    let version = |number: u64, service: &str| {
        let routes = [route("r-1", "/board/", "safe", service, 1_200, 200)];
        configuration(number, &routes, &["board-1", "board-2"])
    };
    store.put("config", "main", version(3, "board-1"));
    let links: Vec<Arc<Links>> = (0..GATEWAYS).map(|_| Arc::default()).collect();
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|n| {
            Gateway::start_at(&folder, &format!("front-{n}"), &store, store.open_for(&links[n]))
        })
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

    let runs = runs.lock().unwrap().clone();
    let runs_of: BTreeMap<&str, &Run> = runs
        .iter()
        .filter(|run| run.status == 200)
        .map(|run| (run.request.as_str(), run))
        .collect();
    let ran_by = |it: &Outcome, service: &str| {
        runs_of.get(it.id.as_str()).is_some_and(|run| run.service == service)
    };
    let (mut regressed, mut late) = (0, 0);
    // The machine that is cut off from the store is not in touch.
    for gateway in (0..GATEWAYS).filter(|gateway| *gateway != BEHIND) {
        let own = || outcomes.iter().filter(|it| it.gateway == gateway);
        // A backend of board-2 saw the effect of version 8 through this machine by then.
        let Some(first) = own().filter(|it| ran_by(it, "board-2")).map(|it| it.ended).min() else {
            record.line(format!("front-{gateway} never acted on version 8"));
            continue;
        };
        record
            .line(format!("front-{gateway} acted on version 8 by {:.3} s", record.seconds(first)));
        let after = || own().filter(|it| it.sent > first + ms(ROLLBACK_SLACK));
        let old: Vec<&Outcome> = after().filter(|it| ran_by(it, "board-1")).collect();
        for it in &old {
            let run = runs_of[it.id.as_str()];
            record.line(format!(
                "  {} sent to front-{gateway} at {:.3} s, run by {} at {:.3} s, answered {}",
                it.id,
                record.seconds(it.sent),
                run.backend,
                record.seconds(run.began),
                it.status()
            ));
        }
        record.line(format!(
            "front-{gateway}: sent more than {ROLLBACK_SLACK} ms later and run by board-1: {} of {}",
            old.len(),
            after().count()
        ));
        regressed += old.len();
        late += old.iter().filter(|it| it.sent > acknowledged + ms(CONFIG_APPLY)).count();
    }
    for it in outcomes.iter().filter(|it| it.status() != 200) {
        record.line(format!(
            "not served: {} sent to front-{} at {:.3} s, answered {} {}",
            it.id,
            it.gateway,
            record.seconds(it.sent),
            it.status(),
            it.problem
        ));
    }
    let sent_to = |gateway: usize| outcomes.iter().filter(|it| it.gateway == gateway).count();
    let sent: Vec<usize> = (0..GATEWAYS).map(sent_to).collect();
    let ran = |service: &str| runs.iter().filter(|run| run.service == service).count();
    record.line(format!(
        "sent to each machine: {sent:?}; run by board-1: {}, by board-2: {}",
        ran("board-1"),
        ran("board-2")
    ));
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
