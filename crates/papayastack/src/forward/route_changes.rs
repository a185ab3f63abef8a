//! What one version of the routes changes in another, for VMs that learn of it from each other.

use std::collections::{BTreeMap, BTreeSet};

use papayastack_macros::message;

use super::route::{CallerLimits, Route, RouteDocument, ServiceEntry};
use crate::ids::ServiceName;

/// A later version of the routes, as another VM is told of it.
#[message]
pub(crate) enum RoutesNews {
    /// The whole document.
    Whole(RouteDocument),
    /// What differs from the version that the other VM has.
    Changes(RouteChanges),
}

impl RoutesNews {
    /// Describes `later` to a VM that has `base`, if that is known here.
    pub(crate) fn describe(later: &RouteDocument, base: Option<&RouteDocument>) -> Self {
        match base {
            Some(base) => Self::Changes(RouteChanges::between(base, later)),
            None => Self::Whole(later.clone()),
        }
    }

    /// Returns the document; `None` if it does not follow from `base`.
    pub(crate) fn into_document(self, base: Option<&RouteDocument>) -> Option<RouteDocument> {
        match self {
            Self::Whole(document) => Some(document),
            Self::Changes(changes) => changes.apply_to(base?),
        }
    }
}

/// The differences between two versions of the routes.
#[message]
pub(crate) struct RouteChanges {
    base_version: u64,
    version: u64,
    /// The later routes, in their order.
    routes: Vec<RoutePiece>,
    /// The services that are new or differ.
    services: BTreeMap<ServiceName, ServiceEntry>,
    services_removed: BTreeSet<ServiceName>,
    limits: CallerLimits,
}

/// A part of the later routes.
#[message]
enum RoutePiece {
    /// Routes of the base, from a position on.
    Kept { from: usize, count: usize },
    /// A route that is new or differs.
    New(Route),
}

impl RouteChanges {
    fn between(base: &RouteDocument, later: &RouteDocument) -> Self {
        let positions = base.routes.iter().enumerate();
        let positions: BTreeMap<&str, usize> =
            positions.map(|(position, route)| (route.name.as_str(), position)).collect();
        let mut routes = Vec::new();
        for route in &later.routes {
            let position = positions.get(route.name.as_str()).copied();
            match position.filter(|position| base.routes[*position] == *route) {
                Some(position) => match routes.last_mut() {
                    Some(RoutePiece::Kept { from, count }) if *from + *count == position => {
                        *count += 1;
                    }
                    _ => routes.push(RoutePiece::Kept { from: position, count: 1 }),
                },
                None => routes.push(RoutePiece::New(route.clone())),
            }
        }
        let is_new =
            |(name, entry): &(&ServiceName, &ServiceEntry)| base.services.get(*name) != Some(entry);
        let is_removed = |name: &&ServiceName| !later.services.contains_key(*name);
        let services = later.services.iter().filter(is_new);
        Self {
            base_version: base.version,
            version: later.version,
            routes,
            services: services.map(|(name, entry)| (name.clone(), *entry)).collect(),
            services_removed: base.services.keys().filter(is_removed).cloned().collect(),
            limits: later.limits,
        }
    }

    /// Returns the later version; `None` if `base` is not the version that the changes are from.
    fn apply_to(self, base: &RouteDocument) -> Option<RouteDocument> {
        if base.version != self.base_version {
            return None;
        }
        let mut routes = Vec::new();
        for piece in self.routes {
            match piece {
                RoutePiece::Kept { from, count } => {
                    routes.extend_from_slice(base.routes.get(from..from.checked_add(count)?)?);
                }
                RoutePiece::New(route) => routes.push(route),
            }
        }
        let mut services = base.services.clone();
        services.retain(|name, _| !self.services_removed.contains(name));
        services.extend(self.services);
        Some(RouteDocument { version: self.version, routes, services, limits: self.limits })
    }
}
