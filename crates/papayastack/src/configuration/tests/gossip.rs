//! Tests of the gossip between peers: its volume, its speed and the handling of corrupt updates.

use std::time::Duration;

use serde_json::json;

use super::super::*;
use super::fleet::{Fleet, address, bundle};

const SECOND: Duration = Duration::from_secs(1);

fn large_bundle(revision: u64) -> serde_json::Value {
    let mut bundle = bundle(revision);
    for number in 0..1_000 {
        let address = format!("10.1.{}.{}:80", number / 250, number % 250 + 1);
        bundle["base"]["services"]["board"]["upstreams"][format!("board-large-{number}")] =
            json!({"data_centre": "a", "address": address});
    }
    bundle
}

#[test]
fn a_small_change_of_a_large_configuration_is_sent_as_a_difference() {
    let mut fleet = Fleet::new(8, 3);
    fleet.platform.put(&configuration_object(), large_bundle(1));
    fleet.run(SECOND * 5);
    assert_eq!(fleet.versions(), [1; 8]);
    fleet.sent_bytes.clear();
    fleet.largest_message_bytes = 0;

    fleet.platform.put(&configuration_object(), large_bundle(2));
    fleet.run(SECOND);

    assert_eq!(fleet.versions(), [2; 8]);
    assert!(fleet.largest_message_bytes < 1_000, "{} bytes", fleet.largest_message_bytes);
}

#[test]
fn a_peer_that_missed_changes_receives_the_differences_since_its_version() {
    let mut fleet = Fleet::new(4, 3);
    fleet.platform.put(&configuration_object(), large_bundle(1));
    fleet.run(SECOND * 5);
    fleet.partitioned.insert(address(3));
    fleet.platform.stale.insert(address(3), fleet.platform.objects.clone());
    for revision in 2..12 {
        fleet.platform.put(&configuration_object(), large_bundle(revision));
        fleet.run(SECOND);
    }
    assert_eq!(fleet.versions(), [11, 11, 11, 1]);
    fleet.largest_message_bytes = 0;

    fleet.partitioned.clear();
    fleet.run(SECOND * 3);

    assert_eq!(fleet.versions(), [11; 4]);
    assert!(fleet.largest_message_bytes < 8_000, "{} bytes", fleet.largest_message_bytes);
}

#[test]
fn a_starting_vm_receives_a_large_configuration_once() {
    let mut fleet = Fleet::new(8, 3);
    fleet.platform.put(&configuration_object(), large_bundle(1));
    fleet.run(SECOND * 5);
    fleet.platform.down = true;
    fleet.sent_bytes.clear();

    fleet.start(address(2));
    fleet.run(SECOND * 2);

    assert_eq!(fleet.versions(), [1; 8]);
    let whole_bytes = large_bundle(1).to_string().len();
    let sent_bytes: usize = fleet.sent_bytes.values().sum();
    assert!(sent_bytes < whole_bytes * 3 / 2, "{sent_bytes} of {whole_bytes} bytes");
}

#[test]
fn an_idle_fleet_stays_within_the_gossip_budget() {
    let mut fleet = Fleet::new(16, 3);
    fleet.platform.put(&configuration_object(), large_bundle(1));
    fleet.run(SECOND * 5);
    fleet.sent_bytes.clear();

    fleet.run(SECOND * 10);

    let most = fleet.sent_bytes.values().max().copied().unwrap_or_default();
    // A tenth of the 12 KB/s that all control traffic of a VM may use at the target size.
    assert!(most < 12_000, "{most} bytes in 10 s");
}

#[test]
fn a_fleet_of_two_hundred_has_a_change_in_force_within_three_seconds() {
    let mut fleet = Fleet::new(200, 3);
    fleet.platform.put(&configuration_object(), bundle(1));
    fleet.run(SECOND * 5);

    fleet.platform.put(&configuration_object(), bundle(2));
    fleet.run(SECOND * 3);

    assert_eq!(fleet.versions(), [2; 200]);
}

#[test]
fn a_corrupt_difference_makes_the_vm_request_the_whole_document() {
    let mut fleet = Fleet::new(2, 3);
    fleet.platform.put(&configuration_object(), bundle(1));
    fleet.run(SECOND * 3);
    let (own, peer, now) = (address(0), address(1), fleet.now);
    let corrupt = DocumentUpdate {
        name: configuration_object(),
        version: 9,
        checksum: 1,
        content: DocumentContent::Difference {
            base_version: 1,
            changes: serde_json::from_value(json!([
                {"op": "replace", "path": "/change_id", "value": "x"}
            ]))
            .unwrap(),
        },
    };

    let machine = fleet.machines.get_mut(&own).unwrap();
    let outputs = machine.on_message(peer, ConfigurationMessage::Update(corrupt), now);

    assert_eq!(machine.in_force().unwrap().configuration_version, 1);
    assert_eq!(machine.counters().updates_unusable, 1);
    let [ConfigurationOutput::Send { to, message: ConfigurationMessage::Digest { held, .. } }] =
        &outputs[..]
    else {
        panic!("{outputs:?}")
    };
    assert_eq!((*to, held[0].version), (peer, 0));
}

#[test]
fn a_difference_with_a_copy_operation_is_not_applied() {
    let mut fleet = Fleet::new(2, 3);
    fleet.platform.put(&configuration_object(), bundle(1));
    fleet.run(SECOND * 3);
    let copies = json!([{"op": "copy", "from": "/base", "path": "/base/again"}]);
    let update = DocumentUpdate {
        name: configuration_object(),
        version: 9,
        checksum: 1,
        content: DocumentContent::Difference {
            base_version: 1,
            changes: serde_json::from_value(copies).unwrap(),
        },
    };

    let now = fleet.now;
    let machine = fleet.machines.get_mut(&address(0)).unwrap();
    machine.on_message(address(1), ConfigurationMessage::Update(update), now);

    assert_eq!(machine.counters().updates_unusable, 1);
    assert_eq!(machine.in_force().unwrap().configuration_version, 1);
}
