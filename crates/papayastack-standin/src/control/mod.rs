//! The HTTP interface that reads and changes the behaviour of the stand-ins while they run.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `GET /platform` | | behaviour and counts |
//! | `PATCH /platform` | merge patch of [`PlatformBehaviour`] | the behaviour in force |
//! | `PUT /vms` | list of [`ListedVm`] | 204 |
//! | `GET /upstreams` | | address, behaviour and counts of each upstream |
//! | `PATCH /upstreams/{id}` | merge patch of [`UpstreamBehaviour`] | the behaviour in force |
//! | `PATCH /services/{name}` | the same, for every upstream of the service | the ids changed |
//! | `POST /services/{name}/repartition` | `{"shards": n}` | `{"snapshot": v}` |
//! | `POST /services/{name}/retire` | `{"snapshot": v}` | 204 |
//! | `GET /executions` | | how often each submission key has run |

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, State as Shared};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, patch, post, put};
use axum::{Json, Router};
use papayastack::{ListedVm, PlatformError, SnapshotVersion, UpstreamId};
use papayastack_macros::message;
use papayastack_platform::PlatformStore;
use tokio::sync::Mutex;

use crate::deployment::DeploymentStandin;
use crate::patch::PatchError;
use crate::platform::{PlatformBehaviour, PlatformCounts, PlatformStandin};
use crate::server::{ConnectionGate, Server};
use crate::upstream::{UpstreamBehaviour, UpstreamCounts, UpstreamStandin};

const CONNECTIONS_MAX: usize = 64;

/// A running control interface of a platform and a deployment.
pub struct ControlStandin {
    server: Server,
}

struct ControlTargets {
    platform: Arc<PlatformStandin>,
    client: PlatformStore,
    deployment: Arc<Mutex<DeploymentStandin>>,
}

/// The state of the platform.
#[message]
pub struct PlatformState {
    /// The behaviour in force.
    pub behaviour: PlatformBehaviour,
    /// The counters since the start.
    pub counts: PlatformCounts,
}

/// The state of one upstream.
#[message]
pub struct UpstreamState {
    /// The address.
    pub address: SocketAddr,
    /// The behaviour in force.
    pub behaviour: UpstreamBehaviour,
    /// The counters since the start.
    pub counts: UpstreamCounts,
}

#[message]
#[serde(deny_unknown_fields)]
struct RepartitionRequest {
    shards: u32,
}

#[message]
#[serde(deny_unknown_fields)]
struct SnapshotBody {
    snapshot: SnapshotVersion,
}

/// Why a control call failed.
enum ControlError {
    NotFound(String),
    InvalidRequest(String),
    Platform(PlatformError),
}

impl IntoResponse for ControlError {
    fn into_response(self) -> Response {
        let (status, detail) = match self {
            Self::NotFound(what) => (StatusCode::NOT_FOUND, what),
            Self::InvalidRequest(detail) => (StatusCode::UNPROCESSABLE_ENTITY, detail),
            Self::Platform(error) => (StatusCode::BAD_GATEWAY, error.to_string()),
        };
        (status, detail).into_response()
    }
}

impl From<PatchError> for ControlError {
    fn from(error: PatchError) -> Self {
        Self::InvalidRequest(error.to_string())
    }
}

impl ControlStandin {
    /// Binds the control interface; port 0 lets the operating system choose.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        platform: Arc<PlatformStandin>,
        deployment: Arc<Mutex<DeploymentStandin>>,
    ) -> std::io::Result<Self> {
        let client = PlatformStore::open(vec![platform.address()]);
        let targets = Arc::new(ControlTargets { platform, client, deployment });
        let gate = ConnectionGate::new(CONNECTIONS_MAX, Duration::ZERO);
        let server = Server::bind(address, gate, router(targets)).await?;
        Ok(Self { server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

fn router(targets: Arc<ControlTargets>) -> Router {
    Router::new()
        .route("/platform", get(platform_state).patch(patch_platform))
        .route("/vms", put(put_vms))
        .route("/upstreams", get(upstream_states))
        .route("/upstreams/{id}", patch(patch_upstream))
        .route("/services/{name}", patch(patch_service))
        .route("/services/{name}/repartition", post(repartition))
        .route("/services/{name}/retire", post(retire))
        .route("/executions", get(executions))
        .with_state(targets)
}

async fn platform_state(Shared(targets): Shared<Arc<ControlTargets>>) -> Json<PlatformState> {
    let platform = &targets.platform;
    Json(PlatformState { behaviour: platform.behaviour(), counts: platform.counts() })
}

async fn patch_platform(
    Shared(targets): Shared<Arc<ControlTargets>>,
    Json(change): Json<serde_json::Value>,
) -> Result<Json<PlatformBehaviour>, ControlError> {
    targets.platform.patch_behaviour(&change)?;
    Ok(Json(targets.platform.behaviour()))
}

async fn put_vms(
    Shared(targets): Shared<Arc<ControlTargets>>,
    Json(vms): Json<Vec<ListedVm>>,
) -> StatusCode {
    targets.platform.set_vms(vms);
    StatusCode::NO_CONTENT
}

async fn upstream_states(
    Shared(targets): Shared<Arc<ControlTargets>>,
) -> Json<BTreeMap<UpstreamId, UpstreamState>> {
    let deployment = targets.deployment.lock().await;
    let state = |upstream: &UpstreamStandin| UpstreamState {
        address: upstream.address(),
        behaviour: upstream.behaviour(),
        counts: upstream.counts(),
    };
    Json(deployment.upstreams().iter().map(|(id, one)| (id.clone(), state(one))).collect())
}

async fn patch_upstream(
    Shared(targets): Shared<Arc<ControlTargets>>,
    Path(id): Path<UpstreamId>,
    Json(change): Json<serde_json::Value>,
) -> Result<Json<UpstreamBehaviour>, ControlError> {
    let deployment = targets.deployment.lock().await;
    let upstream = deployment
        .upstreams()
        .get(&id)
        .ok_or(ControlError::NotFound(format!("no upstream `{id}`")))?;
    upstream.patch_behaviour(&change)?;
    Ok(Json(upstream.behaviour()))
}

async fn patch_service(
    Shared(targets): Shared<Arc<ControlTargets>>,
    Path(name): Path<String>,
    Json(change): Json<serde_json::Value>,
) -> Result<Json<Vec<UpstreamId>>, ControlError> {
    let deployment = targets.deployment.lock().await;
    let mut changed = Vec::new();
    for upstream in deployment.upstreams_of(&name) {
        upstream.patch_behaviour(&change)?;
        changed.push(upstream.id().clone());
    }
    if changed.is_empty() {
        return Err(ControlError::NotFound(format!("no service `{name}`")));
    }
    Ok(Json(changed))
}

async fn repartition(
    Shared(targets): Shared<Arc<ControlTargets>>,
    Path(name): Path<String>,
    Json(request): Json<RepartitionRequest>,
) -> Result<Json<SnapshotBody>, ControlError> {
    if request.shards == 0 {
        return Err(ControlError::InvalidRequest("`shards` must be at least 1".to_owned()));
    }
    let mut deployment = targets.deployment.lock().await;
    let snapshot = deployment
        .repartition(&targets.client, &name, request.shards)
        .await
        .map_err(ControlError::Platform)?;
    Ok(Json(SnapshotBody { snapshot }))
}

async fn retire(
    Shared(targets): Shared<Arc<ControlTargets>>,
    Path(name): Path<String>,
    Json(request): Json<SnapshotBody>,
) -> Result<StatusCode, ControlError> {
    let mut deployment = targets.deployment.lock().await;
    deployment
        .retire(&targets.client, &name, request.snapshot)
        .await
        .map_err(ControlError::Platform)?;
    Ok(StatusCode::NO_CONTENT)
}

async fn executions(Shared(targets): Shared<Arc<ControlTargets>>) -> Json<BTreeMap<String, u64>> {
    Json(targets.deployment.lock().await.executions())
}
