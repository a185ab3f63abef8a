//! Tests of connection timeouts and of the release of the port.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::*;

async fn serve() -> HttpServer {
    let router = Router::new().route("/", get(|| async { "answer" }));
    HttpServer::bind("127.0.0.1:0".parse().unwrap(), router).await.unwrap()
}

/// Sends `head` and returns all bytes received until the server closes the connection.
async fn exchange(server: &HttpServer, head: &str) -> String {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.unwrap();
    reply
}

#[tokio::test(start_paused = true)]
async fn a_connection_with_an_unfinished_head_is_closed() {
    let server = serve().await;

    let reply = exchange(&server, "GET / HTTP/1.1\r\nhost: ").await;

    assert!(!reply.contains("answer"));
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed_after_the_default_timeout() {
    let server = serve().await;

    let reply = exchange(&server, "GET / HTTP/1.1\r\nhost: vm\r\n\r\n").await;

    assert!(reply.ends_with("answer"));
}

#[tokio::test]
async fn a_dropped_server_releases_its_port() {
    let server = serve().await;
    let address = server.address();

    drop(server);

    while HttpServer::bind(address, Router::new()).await.is_err() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed_after_the_timeout_of_its_server() {
    let router = Router::new().route("/", get(|| async { "answer" }));
    let head_timeout = Arc::new(|| Duration::from_secs(90));
    let server =
        HttpServer::bind_with_head_timeout("127.0.0.1:0".parse().unwrap(), router, head_timeout)
            .await
            .unwrap();
    let started = tokio::time::Instant::now();

    let reply = exchange(&server, "GET / HTTP/1.1\r\nhost: vm\r\n\r\n").await;

    assert!(reply.ends_with("answer"));
    assert_eq!(started.elapsed().as_secs(), 90);
}
