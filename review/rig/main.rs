//! The scripts of the review: `rig CASE RECORD` plays one and exits with 1 if the rule was broken, with 0
//! if it held, and with 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod error_parts;
mod failed_refusal;
mod kit;
mod late_stop;
mod lost_watch;
mod unreadable_entry;

use kit::{Gateway, Record, Store, wait_until_ready};
use std::sync::Arc;
use std::time::Duration;

/// What all scripts need.
pub struct Setting {
    pub record: Arc<Record>,
    pub with_trouble: bool,
    pub folder: String,
}

/// The machines of a small deployment.
pub const GATEWAYS: usize = 4;

impl Setting {
    /// Creates the store and the gateways, which are not started yet.
    pub fn deployment(&self) -> (Arc<Store>, Vec<Gateway>) {
        let (store, addresses) = Store::start(GATEWAYS, &self.record);
        let gateways = addresses.iter().enumerate();
        let gateways =
            gateways.map(|(number, address)| Gateway::new(&self.folder, number, *address));
        (store, gateways.collect())
    }

    /// Starts all gateways and waits until they are ready and have found each other.
    pub fn start(&self, gateways: &mut [Gateway]) {
        gateways.iter_mut().for_each(Gateway::start);
        if !wait_until_ready(gateways, Duration::from_secs(15)) {
            kit::cannot_run("the gateways do not become ready");
        }
        std::thread::sleep(Duration::from_secs(3));
        self.record.say("all gateways are ready");
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else { kit::cannot_run("usage: rig CASE RECORD") };
    let folder = std::env::temp_dir().join(format!("papaya-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setting = Setting {
        record: Record::open(record),
        with_trouble,
        folder: folder.to_string_lossy().into_owned(),
    };
    setting.record.say(&format!("case {case}, with the disruption: {with_trouble}"));
    let broken = match case.as_str() {
        "error-parts" => error_parts::play(&setting),
        "failed-refusal" => failed_refusal::play(&setting),
        "unreadable-entry" => unreadable_entry::play(&setting),
        "late-stop" => late_stop::play(&setting),
        "lost-watch" => lost_watch::play(&setting),
        _ => kit::cannot_run("no such case"),
    };
    setting.record.say(if broken { "RULE BROKEN" } else { "the rule held" });
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs in {}", setting.folder);
    }
    std::process::exit(i32::from(broken));
}
