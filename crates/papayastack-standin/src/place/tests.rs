//! Tests of the places' shapes.

use std::collections::BTreeSet;

use super::*;

fn shape(place: Place, name: &str) -> ServiceShape {
    place.services().into_iter().find(|shape| shape.name == name).unwrap()
}

#[test]
fn every_shard_has_its_replicas_in_different_data_centres() {
    for shape in Place::ALL.into_iter().flat_map(Place::services) {
        let ids = shape.upstream_ids();
        for (shard, replicas) in shape.shard_map(shape.shards) {
            let centre = |id: &String| {
                let index = ids.iter().position(|other| other == id).unwrap();
                shape.data_centre_index(u32::try_from(index).unwrap())
            };
            let centres: BTreeSet<usize> = replicas.iter().map(centre).collect();

            assert!(replicas.len() >= 2, "{} shard {shard}: {replicas:?}", shape.name);
            assert_eq!(centres.len(), replicas.len(), "{} shard {shard}", shape.name);
        }
    }
}

#[test]
fn the_sizes_are_those_of_today() {
    let upstreams = |place: Place| -> u32 { place.services().iter().map(|s| s.upstreams).sum() };

    assert_eq!(upstreams(Place::PlazoClaro), 30 + 45 + 40 + 20);
    assert_eq!(upstreams(Place::Armor), 30 + 45 + 11 + 5);
    assert_eq!(shape(Place::Armor, "dossier-viewer").shard_map(5)[&0].len(), 3);
    assert_eq!(shape(Place::Armor, "batch-ledger").shard_map(5)[&0].len(), 2);
}

#[test]
fn a_repartitioned_snapshot_covers_all_its_shards() {
    for shards in [1, 7, 20, 31, 95] {
        let map = shape(Place::PlazoClaro, "deadline-board").shard_map(shards);

        assert_eq!(map.len(), usize::try_from(shards).unwrap());
    }
}
