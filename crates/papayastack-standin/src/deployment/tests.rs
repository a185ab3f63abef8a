//! Tests of the deployments' sizes and shard maps.

use std::collections::BTreeSet;

use super::*;

fn shape(deployment: Deployment, name: &str) -> ServiceShape {
    deployment.services().into_iter().find(|shape| shape.name == name).unwrap()
}

#[test]
fn every_shard_has_its_replicas_in_different_data_centres() {
    for shape in Deployment::ALL.into_iter().flat_map(Deployment::services) {
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
fn the_deployments_have_the_current_sizes() {
    let upstreams =
        |deployment: Deployment| -> u32 { deployment.services().iter().map(|s| s.upstreams).sum() };

    assert_eq!(upstreams(Deployment::PlazoClaro), 30 + 45 + 40 + 20);
    assert_eq!(upstreams(Deployment::Armor), 30 + 45 + 11 + 5);
    assert_eq!(shape(Deployment::Armor, "dossier-viewer").shard_map(5)[&0].len(), 3);
    assert_eq!(shape(Deployment::Armor, "batch-ledger").shard_map(5)[&0].len(), 2);
}

#[test]
fn a_shard_map_covers_all_shards_of_a_snapshot() {
    for shards in [1, 7, 20, 31, 95] {
        let map = shape(Deployment::PlazoClaro, "deadline-board").shard_map(shards);

        assert_eq!(map.len(), usize::try_from(shards).unwrap());
    }
}
