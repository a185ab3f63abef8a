//! Tests of the control interface over HTTP.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use axum::body::{Body, to_bytes};
use axum::http::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use papayastack::{Catalogue, ObjectName, Platform};
use papayastack_platform::PlatformStore;
use serde_json::{Value, json};
use tokio::sync::Mutex;

use super::ControlStandin;
use crate::deployment::{Deployment, DeploymentOptions, DeploymentStandin};
use crate::platform::PlatformStandin;

const SERVICE: &str = "batch-ledger";
const BODY_MAX_BYTES: usize = 1_000_000;

struct Fixture {
    control: ControlStandin,
    platform: Arc<PlatformStandin>,
    deployment: Arc<Mutex<DeploymentStandin>>,
}

impl Fixture {
    async fn bind() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Arc::new(PlatformStandin::bind(any_port).await.unwrap());
        let options = DeploymentOptions {
            services: [SERVICE.to_owned()].into(),
            ..DeploymentOptions::default()
        };
        let deployment = DeploymentStandin::bind(Deployment::Armor, options).await.unwrap();
        deployment.publish(&PlatformStore::open(vec![platform.address()])).await.unwrap();
        let deployment = Arc::new(Mutex::new(deployment));
        let control =
            ControlStandin::bind(any_port, Arc::clone(&platform), Arc::clone(&deployment)).await;
        Self { control: control.unwrap(), platform, deployment }
    }

    async fn call(&self, method: Method, path: &str, body: Value) -> (StatusCode, String) {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.control.address()))
            .header("content-type", "application/json")
            .body(Body::from(body.to_string()))
            .unwrap();
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.unwrap();
        let status = response.status();
        let body = to_bytes(Body::new(response.into_body()), BODY_MAX_BYTES).await.unwrap();
        (status, String::from_utf8(body.to_vec()).unwrap())
    }

    async fn catalogue(&self) -> Catalogue {
        let client = PlatformStore::open(vec![self.platform.address()]);
        let object = client.read(&ObjectName::new("catalogue", SERVICE)).await.unwrap();
        serde_json::from_value(object.value).unwrap()
    }
}

#[tokio::test]
async fn patches_change_one_upstream_or_all_of_a_service() {
    let fixture = Fixture::bind().await;

    let one =
        fixture.call(Method::PATCH, "/upstreams/batch-ledger-01", json!({"draining": true})).await;
    let all = fixture.call(Method::PATCH, "/services/batch-ledger", json!({"queue_max": 3})).await;

    assert_eq!((one.0, all.0), (StatusCode::OK, StatusCode::OK));
    let deployment = fixture.deployment.lock().await;
    for upstream in deployment.upstreams().values() {
        assert_eq!(upstream.behaviour().draining, upstream.id() == "batch-ledger-01");
        assert_eq!(upstream.behaviour().queue_max, 3);
    }
}

#[tokio::test]
async fn a_patch_changes_the_behaviour_of_the_platform() {
    let fixture = Fixture::bind().await;

    let (status, _) = fixture.call(Method::PATCH, "/platform", json!({"unavailable": true})).await;

    assert_eq!(status, StatusCode::OK);
    assert!(fixture.platform.behaviour().unavailable);
}

#[tokio::test]
async fn unknown_fields_and_names_are_named_in_the_error() {
    let fixture = Fixture::bind().await;

    let field = fixture.call(Method::PATCH, "/platform", json!({"unavailabel": true})).await;
    let upstream = fixture.call(Method::PATCH, "/upstreams/x-99", json!({})).await;
    let service = fixture.call(Method::PATCH, "/services/x", json!({})).await;

    assert_eq!(field.0, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(field.1.contains("unavailabel"), "{}", field.1);
    assert_eq!((upstream.0, service.0), (StatusCode::NOT_FOUND, StatusCode::NOT_FOUND));
    assert!(upstream.1.contains("x-99"), "{}", upstream.1);
}

#[tokio::test]
async fn a_service_is_repartitioned_and_its_old_snapshot_retired() {
    let fixture = Fixture::bind().await;

    let repartitioned = fixture
        .call(Method::POST, "/services/batch-ledger/repartition", json!({"shards": 8}))
        .await;
    let catalogue_before = fixture.catalogue().await;
    let retired =
        fixture.call(Method::POST, "/services/batch-ledger/retire", json!({"snapshot": 1})).await;
    let catalogue_after = fixture.catalogue().await;

    assert_eq!(repartitioned, (StatusCode::OK, r#"{"snapshot":2}"#.to_owned()));
    assert_eq!(retired.0, StatusCode::NO_CONTENT);
    assert_eq!(catalogue_before.snapshots.keys().copied().collect::<Vec<_>>(), [1, 2]);
    assert_eq!(catalogue_after.snapshots.keys().copied().collect::<Vec<_>>(), [2]);
    assert_eq!(catalogue_after.snapshots[&2].len(), 8);
}
