//! Tests of forwarding.

mod connections;
mod fan_out;
mod feeds;
mod fleet_feeds;
mod fleet_model;
mod limits;
mod links;
mod load;
mod model;
mod outages;
mod peer_feed;
mod plan;
mod records;
mod registry;
mod reply_body;
mod route_changes;
mod routes;
mod settings;
mod silence;
mod store_health;
mod windows;
