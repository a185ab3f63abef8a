//! Tests of the upstreams' client.

use std::time::Duration;

use axum::Router;
use axum::routing::post;

use super::*;
use crate::listen::HttpServer;

#[tokio::test]
async fn open_connections_are_counted_until_they_close() {
    let router = Router::new().route("/cancel", post(|| async {}));
    let upstream = HttpServer::bind("127.0.0.1:0".parse().unwrap(), router).await.unwrap();
    let client = UpstreamClient::open(1);
    let request = CancelRequest { query: 1, attempt: 1 };

    client.cancel(upstream.address(), &request, Duration::from_secs(10)).await.unwrap();
    let during = client.connections();
    drop(upstream);
    while client.connections() > 0 {
        tokio::task::yield_now().await;
    }

    assert_eq!(during, 1);
}
