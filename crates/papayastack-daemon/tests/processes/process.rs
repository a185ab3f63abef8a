//! A `papayad` process, which is killed when its handle is dropped.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use papayastack::{LocalSettings, MemberState, STATUS_PATH, VmAddress, VmStatus};
use serde::Deserialize;

/// The system key that all processes share.
const SYSTEM_KEY: &str = "the key of the process tests";

/// The addresses that `papayad` prints once it listens.
#[derive(Debug, Deserialize)]
pub(crate) struct BoundAddresses {
    pub(crate) caller_address: SocketAddr,
    pub(crate) link_address: VmAddress,
    operator_address: SocketAddr,
}

/// A running process, which is killed on drop.
pub(crate) struct Process {
    child: Child,
    pub(crate) addresses: BoundAddresses,
}

impl Process {
    /// Starts a process; port 0 in `link` selects a free port.
    pub(crate) fn spawn(
        data_centre: &str,
        platform: SocketAddr,
        link: SocketAddr,
        peers: Vec<VmAddress>,
    ) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_papayad"))
            .args(["--settings", "-"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("papayad can be started");
        let mut settings = LocalSettings::on_loopback(data_centre, platform, SYSTEM_KEY);
        settings.link_address = link;
        settings.peer_addresses = peers;
        let settings = serde_json::to_vec(&settings).expect("settings have string keys");
        let mut input = child.stdin.take().expect("standard input is piped");
        input.write_all(&settings).expect("papayad reads its settings");
        drop(input);
        let mut line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        BufReader::new(output).read_line(&mut line).expect("papayad prints a line");
        let addresses = serde_json::from_str(&line).expect("the line holds the addresses");
        Self { child, addresses }
    }

    /// Sends the signal `name`, such as `TERM`, to the process.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status =
            Command::new("kill").args(["-s", name, &id]).status().expect("`kill` can be started");
        assert!(status.success(), "the signal {name} was not sent");
    }

    /// Returns the exit code; `None` while the process runs or if a signal ended it.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().expect("the child can be waited for").and_then(|status| status.code())
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the child can be waited for").is_some()
    }

    /// Returns the VM status, or `None` if the process does not answer.
    pub(crate) async fn status(&self) -> Option<serde_json::Value> {
        let address = self.addresses.operator_address;
        let (_, body) = call(Method::GET, address, STATUS_PATH, Bytes::new()).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Returns the addresses of the members that the process considers live; empty if it does not
    /// answer.
    pub(crate) async fn live_members(&self) -> Vec<VmAddress> {
        let status = self.status().await.and_then(|status| serde_json::from_value(status).ok());
        let members = status.map(|status: VmStatus| status.members).unwrap_or_default();
        let live_members = members.into_iter().filter(|member| member.state == MemberState::Live);
        live_members.map(|member| member.identity.address).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Makes one HTTP call on a new connection.
pub(crate) async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<(u16, Bytes), String> {
    let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(body))
        .expect("the address and the path make a URI");
    let response = client.request(request).await.map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
    Ok((status, body.to_bytes()))
}

/// Returns the loopback address with port 0, for which the operating system selects a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
