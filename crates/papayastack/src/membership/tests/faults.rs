//! Single faults: deaths, pauses, replacements and network partitions.

use std::collections::BTreeSet;
use std::time::Duration;

use super::cluster::{Cluster, address};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn vms_from_a_seed_list_all_join() {
    let cluster = Cluster::joined(4, 1);

    assert_eq!(cluster.live(0).len(), 4);
}

#[test]
fn a_killed_vm_leaves_every_view_within_a_second() {
    let mut slow = 0;
    for seed in 0..200 {
        let mut cluster = Cluster::joined(4, seed);
        cluster.run(SECOND + Duration::from_millis(seed * 7));
        cluster.kill(3);
        let took = cluster
            .run_until("the death is known", 3 * SECOND, |it| (0..3).all(|vm| !it.sees(vm, 3)));
        slow += usize::from(took >= SECOND);
    }

    assert!(slow <= 2, "{slow} of 200 took a second or longer");
}

#[test]
fn a_paused_vm_leaves_the_views_and_rejoins_when_resumed() {
    let mut cluster = Cluster::joined(4, 2);
    cluster.pause(3);
    cluster
        .run_until("the paused VM is removed", 3 * SECOND, |it| (0..3).all(|vm| !it.sees(vm, 3)));
    cluster.run(60 * SECOND);

    cluster.resume(3);

    cluster.run_until("it rejoins", 3 * SECOND, |it| (0..3).all(|vm| it.sees(vm, 3)));
    cluster.run(5 * SECOND);
    for vm in 0..4 {
        assert_eq!(cluster.live(vm).len(), 4, "as VM {vm} sees it");
    }
    assert_eq!(
        cluster.counts(3).suspicions,
        0,
        "the resumed VM suspected others because of its own pause"
    );
}

#[test]
fn a_resumed_vm_restarts_the_deadlines_of_open_suspicions() {
    let mut cluster = Cluster::joined(4, 13);
    cluster.network.receive_blocked = BTreeSet::from([3]);
    cluster.run_until("a suspicion is open", SECOND, |it| it.counts(3).suspicions > 0);
    cluster.pause(3);
    cluster.network.receive_blocked.clear();
    cluster.run(60 * SECOND);
    cluster.lose_backlog(3);

    cluster.resume(3);
    cluster.run(5 * SECOND);

    assert_eq!(cluster.counts(3).deaths, 0);
    for vm in 0..4 {
        assert_eq!(cluster.live(vm).len(), 4, "as VM {vm} sees it");
    }
}

#[test]
fn two_vms_that_cannot_reach_each_other_probe_indirectly_and_suspect_nobody() {
    let mut cluster = Cluster::joined(6, 7);
    cluster.network.partitions = vec![(BTreeSet::from([0]), BTreeSet::from([1]))];

    cluster.run(60 * SECOND);

    let suspicions: u64 = (0..6).map(|vm| cluster.counts(vm).suspicions).sum();
    assert_eq!(suspicions, 0);
}

#[test]
fn a_vm_that_temporarily_receives_nothing_declares_nobody_dead() {
    let mut cluster = Cluster::joined(6, 8);
    cluster.network.receive_blocked = BTreeSet::from([0]);
    cluster.run(Duration::from_millis(1_500));
    cluster.network.receive_blocked.clear();

    cluster.run(5 * SECOND);

    assert_eq!(cluster.counts(0).deaths, 0);
    for vm in 0..6 {
        assert_eq!(cluster.live(vm).len(), 6, "as VM {vm} sees it");
    }
}

#[test]
fn a_lossy_network_rarely_removes_live_vms_from_views() {
    let mut cluster = Cluster::joined(12, 9);
    cluster.network.loss_permille = 200;
    let mut absent = 0;
    let mut samples = 0;
    for _ in 0..600 {
        cluster.run(SECOND / 10);
        absent += (0..12).map(|vm| 12 - cluster.live(vm).len()).sum::<usize>();
        samples += 12 * 12;
    }
    let suspicions: u64 = (0..12).map(|vm| cluster.counts(vm).suspicions).sum();

    assert!(suspicions > 0, "a loss of 20 % must raise suspicions, or this tests nothing");
    assert!(absent * 1_000 <= samples, "a live VM was absent in {absent} of {samples} samples");
}

#[test]
fn late_datagrams_of_a_replaced_process_do_not_affect_its_successor() {
    let mut cluster = Cluster::joined(4, 10);
    cluster.network.delay_max = 2 * SECOND;
    cluster.network.duplicates_permille = 300;
    cluster.run(2 * SECOND);
    cluster.protocol(3).leave();
    cluster.run(SECOND / 10);
    cluster.replace(3, 2);
    cluster.network.delay_max = Duration::from_millis(2);
    cluster.run_until("the new process is in all views", 5 * SECOND, |it| {
        (0..3).all(|vm| it.live(vm).get(&address(3)) == Some(&2))
    });

    for _ in 0..100 {
        cluster.run(SECOND / 20);
        for vm in 0..3 {
            assert_eq!(cluster.live(vm).get(&address(3)), Some(&2), "as VM {vm} sees it");
            assert!(!cluster.is_leaving(vm, 3));
        }
    }
}

#[test]
fn a_restarted_process_replaces_the_killed_one_in_every_view() {
    let mut cluster = Cluster::joined(4, 3);
    cluster.kill(3);

    cluster.replace(3, 2);

    cluster.run_until("the new process is in all views", 5 * SECOND, |it| {
        (0..4).all(|vm| it.live(vm).get(&address(3)) == Some(&2))
    });
}

#[test]
fn groups_that_declared_each_other_dead_merge_after_the_partition() {
    let mut cluster = Cluster::joined(8, 4);
    let (left, right): (BTreeSet<usize>, BTreeSet<usize>) = ((0..4).collect(), (4..8).collect());
    cluster.network.partitions = vec![(left, right)];
    cluster
        .run_until("partition noticed", 10 * SECOND, |it| (0..8).all(|vm| it.live(vm).len() == 4));

    cluster.network.partitions.clear();

    cluster.run_until("all have merged", 20 * SECOND, |it| (0..8).all(|vm| it.live(vm).len() == 8));
}

#[test]
fn partitioned_regions_keep_each_others_members_in_their_views() {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let data_centre = |vm: usize| ["a", "b", "c", "c"][vm % 4].to_owned();
    let mut cluster = Cluster::new(16, 5, &regions, data_centre);
    cluster.run_until("all joined", 30 * SECOND, |it| (0..16).all(|vm| it.live(vm).len() == 16));
    let (north, south): (BTreeSet<usize>, BTreeSet<usize>) = (0..16).partition(|vm| vm % 4 < 2);

    cluster.network.partitions = vec![(north, south)];
    cluster.run_until("the partition is detected", 10 * SECOND, |it| {
        (0..16).all(|vm| it.unreachable(vm).len() == 1)
    });
    cluster.run(300 * SECOND);
    for vm in 0..16 {
        assert_eq!(cluster.live(vm).len(), 16, "as VM {vm} sees it");
        assert_eq!(cluster.counts(vm).suspicions, 0);
    }
    cluster.kill(1);
    cluster.run(5 * SECOND);
    assert!(!cluster.sees(0, 1));
    assert!(cluster.sees(2, 1));

    cluster.network.partitions.clear();

    cluster.run_until("the partition has healed", 30 * SECOND, |it| {
        let running = (0..16).filter(|vm| *vm != 1);
        running.clone().all(|vm| it.unreachable(vm).is_empty() && !it.sees(vm, 1))
    });
}

#[test]
fn configuration_versions_and_leaving_reach_all_members() {
    let mut cluster = Cluster::joined(8, 6);
    let now = cluster.now;

    cluster.protocol(2).set_configuration_version(7);
    cluster.protocol(3).leave();
    cluster.run_until("both are in all views", 3 * SECOND, |it| {
        (0..8).all(|vm| it.version(vm, 2) == 7 && it.is_leaving(vm, 3))
    });
    cluster.protocol(3).shut_down(now);
    let took = cluster.run_until("the ended VM is removed", 3 * SECOND, |it| {
        (0..8).filter(|vm| *vm != 3).all(|vm| !it.sees(vm, 3))
    });

    assert!(took < Duration::from_millis(400), "an announced shutdown took {took:?}");
}

#[test]
fn an_oversized_update_does_not_block_others() {
    let mut cluster = Cluster::new(3, 11, &[], |vm| "c".repeat(1 + vm / 2 * 2_000));
    cluster.run(60 * SECOND);

    cluster.protocol(0).set_configuration_version(7);

    // Gossip takes one tick; the next anti-entropy comparison, which would also deliver the
    // version, is seconds away.
    cluster.run_until("the version has arrived", SECOND / 2, |it| it.version(1, 0) == 7);
}

#[test]
fn applying_an_unchanged_configuration_keeps_regions_unreachable() {
    let regions = [("a", "north"), ("b", "south")];
    let mut cluster = Cluster::new(4, 12, &regions, |vm| ["a", "b"][vm % 2].to_owned());
    cluster.run_until("all joined", 30 * SECOND, |it| (0..4).all(|vm| it.live(vm).len() == 4));
    cluster.network.partitions = vec![(BTreeSet::from([0, 2]), BTreeSet::from([1, 3]))];
    cluster.run_until("the partition is detected", 10 * SECOND, |it| it.unreachable(0).len() == 1);

    cluster.configure_again(0);

    assert_eq!(cluster.unreachable(0).len(), 1);
}
