//! A `papayad gateway` process with its stand-in store and upstream.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use papayastack::{IngressFormat, ObjectName};
use papayastack_platform::PlatformIngress;
use papayastack_standin::PlatformStandin;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStdout, Command};
use tokio::task::{AbortHandle, JoinSet};

pub(crate) const CONFIGURATION: &str =
    include_str!("../../../../platform/tests/fixtures/configuration.json");
pub(crate) const BACKEND: &str = include_str!("../../../../platform/tests/fixtures/backend.json");

/// How long a test waits for what must come, so that a VM that never does it fails the run instead
/// of holding it up.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// Starts a store that holds the configuration and, if `upstream` is given, its entry.
pub(crate) async fn start_store(upstream: Option<&Upstream>) -> PlatformStandin {
    let store = PlatformStandin::bind(any_port()).await.expect("a port is free");
    let parsed = |text: &str| -> Value { serde_json::from_str(text).expect("fixtures are JSON") };
    store.put_object(&ObjectName::new("config", "main"), parsed(CONFIGURATION));
    if let Some(upstream) = upstream {
        put_backend(&store, 1, upstream.address);
    }
    store
}

/// Writes the entry of an upstream that is ready.
pub(crate) fn put_backend(store: &PlatformStandin, number: usize, address: SocketAddr) {
    let entry = BACKEND.replace("ADDRESS", &address.to_string());
    let entry = serde_json::from_str(&entry).expect("fixtures are JSON");
    store.put_object(&ObjectName::new("servers", format!("i-{number}")), entry);
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Writes the entry of an upstream that says that it is leaving.
pub(crate) fn announce_leaving(store: &PlatformStandin, upstream: &Upstream) {
    let entry = BACKEND
        .replace("ADDRESS", &upstream.address.to_string())
        .replace("ready", "draining")
        .replace("\"sequence\": 1", "\"sequence\": 2");
    let entry = serde_json::from_str(&entry).expect("fixtures are JSON");
    store.put_object(&ObjectName::new("servers", "i-1"), entry);
}

/// An upstream that responds to each request after a fixed time.
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    working: Arc<AtomicUsize>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    accepting: AbortHandle,
}

impl Upstream {
    pub(crate) async fn bind(request_duration: Duration) -> Self {
        Self::bind_with_fields(request_duration, String::new()).await
    }

    /// Binds an upstream that names a limit of requests per second in each reply.
    pub(crate) async fn bind_limited(request_duration: Duration, limit_per_s: f64) -> Self {
        let names = PlatformIngress::new();
        let field = format!("{}: {limit_per_s}\r\n", names.headers().rate_limit);
        Self::bind_with_fields(request_duration, field).await
    }

    async fn bind_with_fields(request_duration: Duration, fields: String) -> Self {
        let listener = TcpListener::bind(any_port()).await.expect("a port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let working = Arc::new(AtomicUsize::new(0));
        let arrivals = Arc::new(Mutex::default());
        let (shared, counted) = (Arc::clone(&working), Arc::clone(&arrivals));
        let accepting = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let counts = (Arc::clone(&shared), Arc::clone(&counted));
                connections.spawn(serve(stream, request_duration, fields.clone(), counts));
            }
        });
        Self { address, working, arrivals, accepting: accepting.abort_handle() }
    }

    /// Closes all connections and refuses new ones.
    pub(crate) fn close(&self) {
        self.accepting.abort();
    }

    /// Returns the number of requests that have arrived.
    pub(crate) fn arrived(&self) -> usize {
        self.arrivals().len()
    }

    /// Returns when each request arrived.
    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("no test panics while it holds the lock").clone()
    }

    /// Waits until the upstream is working on a request.
    pub(crate) async fn wait_until_working(&self) {
        while self.working.load(Ordering::Acquire) == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    request_duration: Duration,
    fields: String,
    (working, arrivals): (Arc<AtomicUsize>, Arc<Mutex<Vec<Instant>>>),
) {
    let names = PlatformIngress::new();
    let names = names.headers();
    while let Some(head) = read_head(&mut stream).await {
        let id_name = format!("{}: ", names.request_id);
        let id = head.lines().find_map(|line| line.strip_prefix(&id_name)).unwrap_or("");
        arrivals.lock().expect("no test panics while it holds the lock").push(Instant::now());
        working.fetch_add(1, Ordering::AcqRel);
        tokio::time::sleep(request_duration).await;
        working.fetch_sub(1, Ordering::AcqRel);
        let reply = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{fields}{}: seal\r\ncontent-length: 6\r\n\r\nanswer",
            names.request_id, names.seal
        );
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

pub(crate) async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(bytes).ok()
}

/// Sends one request; returns status and body, or `None` if the connection fails or closes early.
pub(crate) async fn get(address: SocketAddr) -> Option<String> {
    let names = PlatformIngress::new();
    let text = format!(
        "GET /read/x HTTP/1.1\r\nhost: a.example\r\n{}: the-id\r\nconnection: close\r\n\r\n",
        names.headers().request_id
    );
    let answer = exchange(address, &text).await?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    Some(format!("{} {body}", head.split(' ').nth(1)?))
}

/// Sends one request for a path; returns the status, `None` if there is no answer.
pub(crate) async fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let names = PlatformIngress::new();
    let id = &names.headers().request_id;
    let text = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\n{id}: the-id\r\nconnection: close\r\n\r\n"
    );
    let answer = exchange(address, &text).await?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// Sends a request that closes its connection; returns the whole answer.
async fn exchange(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    Some(answer)
}

/// A running `papayad gateway`, which is killed on drop.
pub(crate) struct GatewayProcess {
    child: Child,
    /// The lines that are still to be read; `None` once they go to a file.
    lines: Option<Lines<BufReader<ChildStdout>>>,
    pub(crate) caller_address: SocketAddr,
    pub(crate) link_address: SocketAddr,
    directory_address: SocketAddr,
}

impl GatewayProcess {
    /// Starts a process in the data centre `a` on free ports and waits for its event `started`.
    pub(crate) async fn start(store: SocketAddr) -> Self {
        Self::start_in(store, "a").await
    }

    /// Starts a process in a data centre; `a` and `b` form one region.
    pub(crate) async fn start_in(store: SocketAddr, data_centre: &str) -> Self {
        Self::start_with(&settings(store, data_centre, store)).await
    }

    /// Starts a process that shares the key of the VMs at another store.
    pub(crate) async fn start_with_members_of(
        store: SocketAddr,
        members_store: SocketAddr,
    ) -> Self {
        Self::start_with(&settings(store, "a", members_store)).await
    }

    async fn start_with(settings: &str) -> Self {
        let mut child = command(&settings_file("sound", settings))
            .stdout(Stdio::piped())
            .spawn()
            .expect("papayad runs");
        let output = child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(output).lines();
        let started = read_event(&mut lines, "started").await;
        let address = |field: &str| {
            let text = started[field].as_str();
            text.and_then(|text| text.parse().ok()).expect("the line names the address")
        };
        let caller_address = address("caller_address");
        let link_address = address("link_address");
        let directory_address = address("directory_address");
        Self { child, lines: Some(lines), caller_address, link_address, directory_address }
    }

    /// Sends requests until the upstream answers one.
    pub(crate) async fn wait_until_served(&self) {
        let served = async {
            while get(self.caller_address).await.as_deref() != Some("200 answer") {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(PATIENCE, served).await.expect("the upstream answers a request");
    }

    /// Waits until the process names the VM at `caller_address` to callers.
    pub(crate) async fn wait_until_names(&self, caller_address: SocketAddr) {
        let named = async {
            while !self.names(caller_address).await {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(PATIENCE, named).await.expect("the process names the other VM");
    }

    /// Tells whether the process names the VM at `caller_address` to callers.
    pub(crate) async fn names(&self, caller_address: SocketAddr) -> bool {
        let request = format!(
            "GET {}?zone=a HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n",
            PlatformIngress::new().addresses_path()
        );
        let answer = exchange(self.directory_address, &request).await;
        answer.is_some_and(|answer| answer.contains(&caller_address.to_string()))
    }

    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().expect("the process runs").to_string();
        let sent = std::process::Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    pub(crate) fn kill(&mut self) {
        self.child.start_kill().expect("the process runs");
    }

    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().await.expect("the process ends").code()
    }

    /// Returns the next decision log line of the event.
    pub(crate) async fn next_event(&mut self, event: &str) -> Value {
        read_event(self.lines.as_mut().expect("the lines go to no file"), event).await
    }

    /// Writes all further lines to a file, for a test that may fail long after they were written.
    pub(crate) fn keep_lines(&mut self, path: &Path) {
        let mut lines = self.lines.take().expect("the lines go to no file yet");
        let mut file = std::fs::File::create(path).expect("a file can be written");
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                writeln!(file, "{line}").expect("a file can be written");
            }
        });
    }
}

async fn read_event(lines: &mut Lines<BufReader<ChildStdout>>, event: &str) -> Value {
    loop {
        let line = lines.next_line().await.expect("the output can be read");
        let line = line.expect("the line comes before the output ends");
        let line: Value = serde_json::from_str(&line).expect("lines are JSON");
        if line["event"] == event {
            return line;
        }
    }
}

/// Runs a process with the settings `text` until it exits; returns exit code and standard error.
pub(crate) async fn run_with_settings(name: &str, text: &str) -> (Option<i32>, String) {
    let output = command(&settings_file(name, text)).output().await.expect("papayad runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

fn command(settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_papayad"));
    command.arg("gateway").arg("--settings").arg(settings).kill_on_drop(true);
    command
}

/// Returns the settings of a VM; VMs with the same `members_store` are members of one region, also
/// where each has a store of its own.
fn settings(store: SocketAddr, data_centre: &str, members_store: SocketAddr) -> String {
    let any = any_port();
    json!({
        "vm": "vm-1", "data_centre": data_centre,
        "data_centres": { "a": "region", "b": "region" },
        "caller_address": any, "ready_address": any, "directory_address": any,
        "link_address": any, "operator_address": any, "store_address": store,
        // Processes of other runs on this machine are no members.
        "system_keys": [format!("a key of the tests at {members_store}, {}", std::process::id())],
        "address_lifetime_max_s": 1, "stop_grace_s": 4,
        "repeats": { "window_s": 10, "per_request": 0.2, "extra": 56 },
    })
    .to_string()
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    // Another run of these tests may go on beside this one; processes read their files again.
    let file = format!("{name}-{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&path, text).expect("a file can be written");
    path
}
