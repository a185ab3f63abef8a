//! Tests of the generated documents and their search.

use papayastack::Selection;

use super::*;

fn terms(words: &[&str]) -> Selection {
    Selection::Terms(words.iter().map(|word| (*word).to_owned()).collect())
}

#[test]
fn the_same_arguments_give_the_same_hits() {
    let first = naive_search(7, "deadline-board", 3, 2, &terms(&["conahcyt"]), 10);
    let second = naive_search(7, "deadline-board", 3, 2, &terms(&["conahcyt"]), 10);

    assert_eq!(first, second);
    assert!(first.hits_total > 0);
}

#[test]
fn seed_snapshot_and_shard_each_change_the_documents() {
    let base = shard_documents(7, "label-vetting", 3, 2);

    assert_ne!(base, shard_documents(8, "label-vetting", 3, 2));
    assert_ne!(base, shard_documents(7, "label-vetting", 4, 2));
    assert_ne!(base, shard_documents(7, "label-vetting", 3, 1));
}

#[test]
fn a_key_is_found_only_in_its_own_shard() {
    let key = Selection::Key(document_key("label-vetting", 4, 9));

    let own = naive_search(7, "label-vetting", 1, 4, &key, 10);
    let other = naive_search(7, "label-vetting", 1, 5, &key, 10);

    assert_eq!(own.hits_total, 1);
    assert_eq!(other.hits_total, 0);
}

#[test]
fn the_hits_limit_keeps_the_best_hits_and_the_total_count() {
    let all = naive_search(7, "deadline-board", 1, 0, &terms(&[]), 1_000);
    let best = naive_search(7, "deadline-board", 1, 0, &terms(&[]), 3);

    assert_eq!(best.hits_total, all.hits_total);
    assert_eq!(best.hits, all.hits[..3]);
}
