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

// Guards against a process that never ends, since a caller does not take its answer.
#[tokio::test]
async fn a_caller_that_takes_no_answer_delays_a_shutdown_for_a_limited_time() {
    // More than the buffers of both sockets hold.
    let router = Router::new().route("/", get(|| async { vec![7_u8; 16_000_000] }));
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), router).await.unwrap();
    let mut caller = TcpStream::connect(server.address()).await.unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\nhost: vm\r\n\r\n").await.unwrap();
    caller.readable().await.unwrap();
    while server.in_flight() == 0 {
        tokio::task::yield_now().await;
    }

    let shut_down = tokio::time::timeout(Duration::from_secs(8), server.shutdown()).await;

    assert!(shut_down.is_ok(), "the shutdown waits for a caller that reads nothing");
}
