//! The operators' endpoints of a forwarding VM: metrics, status, readiness and drain.

use std::sync::Arc;

use async_trait::async_trait;
use serde_json::{Value, json};

use super::metrics::ForwardLevels;
use super::state::ForwardState;
use crate::membership::Membership;
use crate::operator::{OperatorService, Readiness};

/// Answers operators' requests to one forwarding VM.
pub(crate) struct GatewayOperatorService {
    state: Arc<ForwardState>,
    membership: Arc<Membership>,
}

impl GatewayOperatorService {
    pub(crate) fn new(state: Arc<ForwardState>, membership: Arc<Membership>) -> Self {
        Self { state, membership }
    }

    fn levels(&self) -> ForwardLevels {
        let state = &self.state;
        let (connections, connections_opened) = state.pool.counts();
        ForwardLevels {
            routes_version: state.routes_version(),
            upstreams: state.upstreams.borrow().as_ref().map_or(0, |set| set.by_index.len() as u64),
            limited_upstreams: state.decisions().limits().count() as u64,
            members: state.members.borrow().members.len() as u64,
            connections,
            connections_opened,
            log_lines_dropped: state.log.dropped_total(),
            membership: self.membership.counts(),
            feed_ages: state.feed_ages(),
        }
    }
}

#[async_trait]
impl OperatorService for GatewayOperatorService {
    fn metrics(&self) -> String {
        self.state.metrics.encode(&self.levels())
    }

    async fn status(&self) -> Value {
        let levels = self.levels();
        let members: Vec<Value> = self
            .state
            .members
            .borrow()
            .members
            .values()
            .map(|member| {
                json!({
                    "link_address": member.identity.address,
                    "caller_address": member.caller_address,
                    "data_centre": member.data_centre,
                    "state": member.state,
                    "routes_version": member.configuration_version,
                })
            })
            .collect();
        json!({
            "vm": self.state.settings.vm,
            "ready": self.state.is_ready(),
            "routes_version": levels.routes_version,
            "upstreams": levels.upstreams,
            "connections": levels.connections,
            "members": members,
        })
    }

    fn readiness(&self) -> Readiness {
        if self.state.is_ready() {
            return Readiness::Ready;
        }
        let detail = if self.state.routes.borrow().is_none() {
            "no configuration is known yet"
        } else if self.state.upstreams.borrow().is_none() {
            "the upstreams are not known yet"
        } else {
            "the VM is leaving"
        };
        Readiness::NotReady { detail: detail.to_owned() }
    }

    fn drain(&self) {
        self.state.drain_requested.send_replace(true);
    }
}
