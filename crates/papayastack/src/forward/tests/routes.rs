//! Tests of the search for a request's route.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::forward::{
    CallerLimits, RequestKind, Route, RouteDocument, RouteTable, RouteTarget, ShardTarget,
};

pub(super) fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        target: RouteTarget::Service("board".to_owned()),
        kind: RequestKind::Safe,
        timeout: Duration::from_millis(1_000),
        goal: Duration::from_millis(200),
        priority: 0,
        attempts_max: 2,
    }
}

pub(super) fn shard_target(shards: usize, covered_min_ppm: u32) -> ShardTarget {
    ShardTarget {
        services: (0..shards).map(|shard| format!("shard-{shard}")).collect(),
        records_max: 5,
        covered_min_ppm,
    }
}

pub(super) fn document(routes: Vec<Route>) -> RouteDocument {
    let limits = CallerLimits {
        head_max_bytes: 16_384,
        body_max_bytes: 262_144,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteDocument { version: 7, routes, services: BTreeMap::new(), limits }
}

fn table(routes: Vec<Route>) -> Arc<RouteTable> {
    Arc::new(RouteTable::new(document(routes)))
}

fn find_name(table: &Arc<RouteTable>, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("short", "a.example", "/search/"),
        route("long", "a.example", "/search/deep/"),
        route("elsewhere", "b.example", "/search/deep/er/"),
    ]);

    assert_eq!(find_name(&table, "a.example", "/search/deep/er/x").as_deref(), Some("long"));
    assert_eq!(find_name(&table, "a.example", "/search/x").as_deref(), Some("short"));
}

#[test]
fn a_prefix_matches_only_with_its_final_slash() {
    let table = table(vec![route("short", "a.example", "/search/")]);

    assert_eq!(find_name(&table, "a.example", "/searching/x"), None);
    assert_eq!(find_name(&table, "a.example", "/search"), None);
}

#[test]
fn the_host_is_compared_without_case_and_port() {
    let table = table(vec![route("short", "a.example", "/search/")]);

    assert_eq!(find_name(&table, "A.Example:8080", "/search/x").as_deref(), Some("short"));
    assert_eq!(find_name(&table, "b.example", "/search/x"), None);
}

#[test]
fn the_smallest_coverage_is_rounded_up() {
    assert_eq!(shard_target(10, 890_000).covered_min(), 9);
    assert_eq!(shard_target(10, 750_000).covered_min(), 8);
    assert_eq!(shard_target(10, 1_000_000).covered_min(), 10);
    assert_eq!(shard_target(10, 0).covered_min(), 1);
}
