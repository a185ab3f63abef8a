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
        let changes = base.map(|base| (RouteChanges::between(base, later), base));
        match changes {
            // The order of the routes may have changed too, which changes do not tell.
            Some((changes, base)) if changes.applied_to(base).as_ref() == Some(later) => {
                Self::Changes(changes)
            }
            Some(_) | None => Self::Whole(later.clone()),
        }
    }

    /// Returns the document; `None` if it does not follow from `base`.
    pub(crate) fn into_document(self, base: Option<&RouteDocument>) -> Option<RouteDocument> {
        match self {
            Self::Whole(document) => Some(document),
            Self::Changes(changes) => changes.applied_to(base?),
        }
    }
}

/// The differences between two versions of the routes.
#[message]
pub(crate) struct RouteChanges {
    base_version: u64,
    version: u64,
    /// The routes that are new or differ.
    routes: Vec<Route>,
    routes_removed: BTreeSet<String>,
    /// The services that are new or differ.
    services: BTreeMap<ServiceName, ServiceEntry>,
    services_removed: BTreeSet<ServiceName>,
    limits: CallerLimits,
}

impl RouteChanges {
    fn between(base: &RouteDocument, later: &RouteDocument) -> Self {
        let before: BTreeMap<&str, &Route> =
            base.routes.iter().map(|route| (route.name.as_str(), route)).collect();
        let after: BTreeSet<&str> = later.routes.iter().map(|route| route.name.as_str()).collect();
        let is_new = |route: &&Route| before.get(route.name.as_str()) != Some(route);
        let is_removed = |name: &&&str| !after.contains(**name);
        let service_is_new =
            |(name, entry): &(&ServiceName, &ServiceEntry)| base.services.get(*name) != Some(entry);
        let service_is_removed = |name: &&ServiceName| !later.services.contains_key(*name);
        Self {
            base_version: base.version,
            version: later.version,
            routes: later.routes.iter().filter(is_new).cloned().collect(),
            routes_removed: before
                .keys()
                .filter(is_removed)
                .map(|name| (*name).to_owned())
                .collect(),
            services: later
                .services
                .iter()
                .filter(service_is_new)
                .map(|(name, entry)| (name.clone(), *entry))
                .collect(),
            services_removed: base.services.keys().filter(service_is_removed).cloned().collect(),
            limits: later.limits,
        }
    }

    /// Returns the later version; `None` if `base` is not the version that the changes are from.
    fn applied_to(&self, base: &RouteDocument) -> Option<RouteDocument> {
        if base.version != self.base_version {
            return None;
        }
        let mut changed: BTreeMap<&str, &Route> =
            self.routes.iter().map(|route| (route.name.as_str(), route)).collect();
        let kept = base.routes.iter().filter(|route| !self.routes_removed.contains(&route.name));
        let mut routes: Vec<Route> = kept
            .map(|route| changed.remove(route.name.as_str()).unwrap_or(route).clone())
            .collect();
        let added = self.routes.iter().filter(|route| changed.contains_key(route.name.as_str()));
        routes.extend(added.cloned());
        let mut services = base.services.clone();
        services.retain(|name, _| !self.services_removed.contains(name));
        services.extend(self.services.iter().map(|(name, entry)| (name.clone(), *entry)));
        Some(RouteDocument { version: self.version, routes, services, limits: self.limits })
    }
}
