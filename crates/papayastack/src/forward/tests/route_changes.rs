//! Tests of the differences between two versions of the routes.

use super::routes::{document, route};
use crate::cbor;
use crate::forward::route_changes::RoutesNews;
use crate::forward::{Route, RouteDocument, ServiceEntry};

fn version(version: u64, routes: Vec<Route>) -> RouteDocument {
    RouteDocument { version, ..document(routes) }
}

/// Returns forty routes, as a large installation has.
fn many() -> Vec<Route> {
    (0..40).map(|number| route(&format!("r{number}"), "a.example", "/read/")).collect()
}

fn told(later: &RouteDocument, base: &RouteDocument) -> RoutesNews {
    let news = RoutesNews::describe(later, Some(base));
    cbor::decode(&cbor::encode(&news)).expect("news survive encoding")
}

// Guards against bytes between VMs that grow with the routes instead of with their changes.
#[test]
fn a_version_that_changes_one_route_is_told_in_less_than_a_tenth_of_its_size() {
    let base = version(4, many());
    let mut routes = many();
    routes[7].attempts_max += 1;
    let later = version(6, routes);

    let news = told(&later, &base);

    assert!(cbor::encode(&news).len() * 10 < cbor::encode(&later).len());
    assert_eq!(news.into_document(Some(&base)), Some(later));
}

#[test]
fn versions_that_add_remove_and_reorder_arrive_as_they_are() {
    let base = version(4, many());
    let mut fewer = many();
    fewer.remove(3);
    fewer.push(route("added", "b.example", "/new/"));
    let mut reordered = many();
    reordered.swap(1, 2);
    let mut services = version(8, many());
    services.services.insert("added".to_owned(), ServiceEntry { connections_max: 7 });
    services.services.remove("board");
    services.limits.body_max_bytes += 1;

    for later in [version(5, fewer), version(6, reordered), services] {
        assert_eq!(told(&later, &base).into_document(Some(&base)), Some(later));
    }
}

// Guards against routes that are put together from two versions that do not belong together.
#[test]
fn changes_from_another_version_are_not_applied() {
    let (base, other) = (version(4, many()), version(5, many()));
    let mut routes = many();
    routes.remove(0);
    let news = told(&version(6, routes), &base);

    assert_eq!(news.clone().into_document(Some(&other)), None);
    assert_eq!(news.into_document(None), None);
}
