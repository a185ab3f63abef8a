//! Measures the cost of one configuration change between two VMs at the target size: the sizes of a
//! whole copy, of the changed parts and of a difference, and the time that each VM takes.
//!
//! `cargo run --release -p papayastack --example configuration_bytes [UPSTREAMS]`

use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack::{
    ConfigurationMachine, ConfigurationMessage, ConfigurationOutput, Member, MemberState,
    MemberView, Object, VmAddress, VmIdentity, configuration_object,
};
use serde::Serialize;
use serde_json::{Value, json};

const UPSTREAMS: usize = 50_000;
const UPSTREAMS_PER_SERVICE: usize = 2_500;
const DATA_CENTRES: usize = 14;
const REGIONS: usize = 6;
const CHANGES_PER_DAY: f64 = 11_000.0;
const DAY_S: f64 = 86_400.0;
const REPEATS: u64 = 5;

/// A kind of change, with a function that applies its `number`th instance to a bundle.
struct Change {
    name: &'static str,
    apply: fn(&mut Value, u64),
}

const CHANGES: [Change; 5] = [
    Change { name: "one setting of one site", apply: set_queue_max },
    Change {
        name: "one upstream replaced",
        apply: |bundle, number| replace_upstreams(bundle, number, 1),
    },
    Change { name: "one upstream added", apply: add_upstream },
    Change {
        name: "10 upstreams replaced",
        apply: |bundle, number| replace_upstreams(bundle, number, 10),
    },
    Change {
        name: "100 upstreams replaced",
        apply: |bundle, number| replace_upstreams(bundle, number, 100),
    },
];

fn main() {
    let upstreams = std::env::args()
        .nth(1)
        .map_or(UPSTREAMS, |count| count.parse().expect("UPSTREAMS must be a number"));
    println!(
        "| change | whole copy (B) | whole parts (B) | difference (B) | messages | adopt (ms) | learn (ms) |"
    );
    println!("|---|---|---|---|---|---|---|");
    for change in &CHANGES {
        println!("{}", measure(change, upstreams));
    }
}

fn measure(change: &Change, upstreams: usize) -> String {
    let mut pair = VmPair::start(bundle(upstreams));
    let mut sums = Costs::default();
    for number in 1..=REPEATS {
        let before = pair.bundle.clone();
        let mut after = before.clone();
        (change.apply)(&mut after, number);
        after["change_id"] = json!(format!("change-{number}"));
        sums.whole_bytes += encoded_bytes(&after);
        sums.part_bytes += changed_part_bytes(&before, &after);
        pair.apply_change(after, &mut sums);
    }
    let mean = |sum: usize| sum as f64 / REPEATS as f64;
    let mean_ms = |sum: Duration| sum.as_secs_f64() * 1_000.0 / REPEATS as f64;
    let per_s = |bytes: f64| bytes * CHANGES_PER_DAY / DAY_S;
    format!(
        "| {} | {:.0} ({:.0}/s) | {:.0} ({:.0}/s) | {:.0} ({:.0}/s) | {:.1} | {:.0} | {:.0} |",
        change.name,
        mean(sums.whole_bytes),
        per_s(mean(sums.whole_bytes)),
        mean(sums.part_bytes),
        per_s(mean(sums.part_bytes)),
        mean(sums.sent_bytes),
        per_s(mean(sums.sent_bytes)),
        mean(sums.messages),
        mean_ms(sums.adopt_time),
        mean_ms(sums.learn_time),
    )
}

#[derive(Default)]
struct Costs {
    whole_bytes: usize,
    part_bytes: usize,
    /// The total size of all messages between the two VMs in bytes, acknowledgements included.
    sent_bytes: usize,
    messages: usize,
    adopt_time: Duration,
    learn_time: Duration,
}

/// A VM that watches the platform, and one that receives the configuration from the first.
struct VmPair {
    watcher: ConfigurationMachine,
    learner: ConfigurationMachine,
    bundle: Value,
    version: u64,
    now: Instant,
}

impl VmPair {
    fn start(bundle: Value) -> Self {
        let now = Instant::now();
        let open = |vm| ConfigurationMachine::open(vm, "site-0".into(), 1, now);
        let (watcher, learner) = (open(address(0)), open(address(1)));
        let mut pair = Self { watcher, learner, bundle: Value::Null, version: 0, now };
        // Moves the time past the initial wait of a VM that starts.
        pair.now += Duration::from_secs(1);
        let view = Arc::new(member_view());
        pair.watcher.on_members(Arc::clone(&view), pair.now);
        pair.learner.on_members(view, pair.now);
        pair.apply_change(bundle, &mut Costs::default());
        pair
    }

    fn apply_change(&mut self, bundle: Value, costs: &mut Costs) {
        self.version += 1;
        self.now += Duration::from_millis(100);
        let object = Object { version: self.version, value: bundle.clone() };
        let started = Instant::now();
        let outputs = self.watcher.on_platform(&configuration_object(), Ok(Some(object)), self.now);
        costs.adopt_time += started.elapsed();
        self.exchange(outputs, costs);
        self.bundle = bundle;
        let learnt_version = self.learner.in_force().map(|in_force| in_force.configuration_version);
        assert_eq!(
            learnt_version,
            Some(self.version),
            "the learner does not have the version that the watcher adopted"
        );
    }

    fn exchange(&mut self, outputs: Vec<ConfigurationOutput>, costs: &mut Costs) {
        let mut to_learner = messages(outputs);
        let mut to_watcher = Vec::new();
        while !to_learner.is_empty() || !to_watcher.is_empty() {
            for message in std::mem::take(&mut to_learner) {
                costs.sent_bytes += encoded_bytes(&message);
                costs.messages += 1;
                let started = Instant::now();
                let outputs = self.learner.on_message(address(0), message, self.now);
                costs.learn_time += started.elapsed();
                to_watcher.extend(messages(outputs));
            }
            for message in std::mem::take(&mut to_watcher) {
                costs.sent_bytes += encoded_bytes(&message);
                costs.messages += 1;
                let outputs = self.watcher.on_message(address(1), message, self.now);
                to_learner.extend(messages(outputs));
            }
        }
    }
}

fn messages(outputs: Vec<ConfigurationOutput>) -> Vec<ConfigurationMessage> {
    let messages = outputs.into_iter().filter_map(|output| match output {
        ConfigurationOutput::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

fn encoded_bytes(value: &impl Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("messages encode as CBOR");
    bytes.len()
}

/// Returns the total size in bytes of the services and overlays that differ, each with its path.
fn changed_part_bytes(before: &Value, after: &Value) -> usize {
    let services = parts(after, "/base/services");
    let overlays = parts(after, "/overlays");
    let changed =
        services.chain(overlays).filter(|(path, part)| before.pointer(path) != Some(part));
    changed.map(|(path, part)| encoded_bytes(&(path, part))).sum()
}

fn parts<'a>(document: &'a Value, section: &'a str) -> impl Iterator<Item = (String, &'a Value)> {
    let members = document.pointer(section).and_then(Value::as_object).into_iter().flatten();
    members.map(move |(name, part)| (format!("{section}/{name}"), part))
}

fn bundle(upstreams: usize) -> Value {
    let mut services = serde_json::Map::new();
    for number in 0..upstreams {
        let service = format!("service-{:02}", number / UPSTREAMS_PER_SERVICE);
        let service = services.entry(service).or_insert_with(
            || json!({"slots_per_upstream": 5, "connections_per_upstream": 110, "upstreams": {}}),
        );
        service["upstreams"][upstream_id(number)] = upstream(number, 0);
    }
    let data_centres: serde_json::Map<String, Value> = (0..DATA_CENTRES)
        .map(|number| {
            (data_centre(number), json!({"region": format!("region-{}", number % REGIONS)}))
        })
        .collect();
    let overlays: serde_json::Map<String, Value> = (0..DATA_CENTRES)
        .map(|number| (format!("site-{number}"), json!({"routing": {"queue_max": 100 + number}})))
        .collect();
    json!({
        "change_id": "change-0",
        "base": {"data_centres": data_centres, "services": services},
        "overlays": overlays,
    })
}

fn upstream(number: usize, generation: u64) -> Value {
    let (high, low) = (number / 250, number % 250 + 1);
    let address = format!("10.{}.{high}.{low}:8080", generation % 250);
    json!({"data_centre": data_centre(number % DATA_CENTRES), "address": address})
}

fn upstream_id(number: usize) -> String {
    format!("service-{:02}-{number:05}", number / UPSTREAMS_PER_SERVICE)
}

fn data_centre(number: usize) -> String {
    format!("data-centre-{number:02}")
}

fn set_queue_max(bundle: &mut Value, number: u64) {
    bundle["overlays"]["site-3"]["routing"]["queue_max"] = json!(1_000 + number);
}

fn replace_upstreams(bundle: &mut Value, number: u64, count: usize) {
    for upstream_number in 0..count {
        let id = upstream_id(upstream_number);
        bundle["base"]["services"]["service-00"]["upstreams"][id] =
            upstream(upstream_number, number);
    }
}

fn add_upstream(bundle: &mut Value, number: u64) {
    let address = format!("10.251.1.{number}:8080");
    bundle["base"]["services"]["service-00"]["upstreams"][format!("service-00-new-{number}")] =
        json!({"data_centre": data_centre(0), "address": address});
}

fn member_view() -> MemberView {
    let members = (0..2).map(address).map(|vm| {
        let member = Member {
            identity: VmIdentity { address: vm, incarnation: 1 },
            data_centre: data_centre(0),
            caller_address: vm,
            state: MemberState::Live,
            configuration_version: 0,
        };
        (vm, member)
    });
    MemberView { members: members.collect(), ..MemberView::default() }
}

fn address(number: u16) -> VmAddress {
    VmAddress::from(([127, 0, 0, 1], 7_000 + number))
}
