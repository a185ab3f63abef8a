//! Tests of the operators' server.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::*;
use crate::observe::Metrics;

#[derive(Default)]
struct FakeVm {
    leaving: AtomicBool,
}

#[async_trait]
impl OperatorService for FakeVm {
    fn metrics(&self) -> String {
        Metrics::new().encode()
    }

    async fn status(&self) -> serde_json::Value {
        serde_json::json!({"configuration_version": 3})
    }

    fn readiness(&self) -> Readiness {
        match self.leaving.load(Ordering::Relaxed) {
            true => Readiness::NotReady { detail: "the VM is leaving".to_owned() },
            false => Readiness::Ready,
        }
    }

    fn drain(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }
}

async fn serve() -> OperatorServer {
    OperatorServer::bind("127.0.0.1:0".parse().unwrap(), Arc::new(FakeVm::default())).await.unwrap()
}

async fn send(server: &OperatorServer, method: &str, path: &str) -> (u16, String) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}{path}", server.address());
    let request = axum::http::Request::builder().method(method).uri(uri);
    let request = request.body(Empty::<bytes::Bytes>::new()).unwrap();
    let response = client.request(request).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

#[tokio::test]
async fn status_metrics_and_health_are_answered() {
    let server = serve().await;

    let (status, body) = send(&server, "GET", STATUS_PATH).await;
    let (metrics_status, metrics) = send(&server, "GET", METRICS_PATH).await;
    let (health, _) = send(&server, "GET", HEALTH_PATH).await;

    assert_eq!((status, body.as_str()), (200, r#"{"configuration_version":3}"#));
    assert_eq!(metrics_status, 200);
    assert!(metrics.ends_with("# EOF\n"));
    assert_eq!(health, 200);
}

#[tokio::test]
async fn a_drain_makes_the_vm_not_ready() {
    let server = serve().await;

    let (before, _) = send(&server, "GET", READY_PATH).await;
    let (drain, _) = send(&server, "POST", DRAIN_PATH).await;
    let (after, detail) = send(&server, "GET", READY_PATH).await;

    assert_eq!((before, drain, after), (200, 202, 503));
    assert!(detail.contains("leaving"));
}

#[tokio::test]
async fn unknown_paths_and_methods_are_refused_with_the_accepted_ones() {
    let server = serve().await;

    let (path, path_detail) = send(&server, "GET", "/stats").await;
    let (method, method_detail) = send(&server, "GET", DRAIN_PATH).await;

    assert_eq!((path, method), (404, 405));
    assert!(path_detail.contains("/stats") && path_detail.contains(STATUS_PATH));
    assert!(method_detail.contains("use POST"));
}
