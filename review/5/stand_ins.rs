//! Stand-ins for the platform's store, the backends and the clients, and the control of gateway
//! processes. Only the standard library is used.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const OK: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Tells whether the disruption is to be left out.
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

// ---------------------------------------------------------------------------------------------
// The record

/// The record of a run: each line with the time since the start, in a file and on standard output.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.0.0.elapsed().as_secs_f64(), text.as_ref());
        print!("{line}");
        let _ = self.0.1.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.0.0).as_secs_f64()
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1 messages

pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message { first: first.trim_end().to_owned(), headers, body: Vec::new() }))
}

/// Reads a whole message whose body has a length or comes in chunks.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    let mut body = std::mem::take(&mut message.body);
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Returns a port that is free for connections and datagrams, below the ports that outgoing
/// connections get.
pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 61;
    loop {
        let port = 12_000 + ((first + NEXT.fetch_add(1, Ordering::AcqRel)) % 18_000) as u16;
        if TcpListener::bind(loopback(port)).is_ok() && UdpSocket::bind(loopback(port)).is_ok() {
            return port;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: Vec<u8>,
}

struct Event {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<Vec<u8>>,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The platform's store, as the pages describe it: lists, watches, objects; a revision that rises.
pub struct Store {
    pub address: SocketAddr,
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            contents: Mutex::new(Contents { revision: 100, ..Contents::default() }),
            changed: Condvar::new(),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || {
                    let _ = store.serve(stream, None);
                });
            }
        });
        store
    }

    /// Opens an address of the store for one machine, which is told the addresses of its links to the
    /// backends.
    pub fn open_for(self: &Arc<Self>, links: &Arc<Links>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (store, links) = (Arc::clone(self), Arc::clone(links));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, links) = (Arc::clone(&store), Arc::clone(&links));
                thread::spawn(move || {
                    let _ = store.serve(stream, Some(&links));
                });
            }
        });
        address
    }

    /// Writes an object; returns the moment of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: impl Into<Vec<u8>>) -> Instant {
        self.write(kind, name, Some(spec.into()), true)
    }

    /// Writes an object of which nothing but its count of updates has changed: no event.
    pub fn put_quietly(&self, kind: &str, name: &str, spec: impl Into<Vec<u8>>) {
        self.write(kind, name, Some(spec.into()), false);
    }

    fn write(&self, kind: &str, name: &str, spec: Option<Vec<u8>>, is_event: bool) -> Instant {
        let mut contents = self.contents.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if is_event {
            contents.revision += 1;
        }
        let revision = contents.revision;
        match &spec {
            Some(spec) => {
                contents.objects.insert(key, Object { revision, spec: spec.clone() });
            }
            None => {
                contents.objects.remove(&key);
            }
        }
        if is_event {
            let (kind, name) = (kind.to_owned(), name.to_owned());
            contents.events.push(Event { revision, kind, name, spec });
            self.changed.notify_all();
        }
        Instant::now()
    }

    fn serve(&self, stream: TcpStream, links: Option<&Arc<Links>>) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let wait_for_link = || {
                while links.is_some_and(|links| links.store_is_cut.load(Ordering::Acquire)) {
                    thread::sleep(ms(2));
                }
            };
            wait_for_link();
            let answer = self.answer(&request);
            // What was under way when the cut began arrives once it has healed.
            wait_for_link();
            let answer = match links {
                Some(links) if request.target().starts_with("/objects/servers") => {
                    links.rewrite(answer)
                }
                _ => answer,
            };
            thread::sleep(ms(4));
            writer.write_all(&answer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let json = [("Content-Type", "application/json".to_owned())];
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)
        };
        let mut segments = path.trim_start_matches('/').split('/').skip(1);
        let kind = segments.next().unwrap_or("").to_owned();
        let name = segments.next().map(|name| name.replace("%3A", ":"));
        match (request.method(), name) {
            ("GET", Some(name)) => {
                let contents = self.contents.lock().unwrap();
                match contents.objects.get(&(kind, name.clone())) {
                    Some(object) => response(200, &json, &object_body(&name, Some(object))),
                    None => response(404, &json, b"{}"),
                }
            }
            ("GET", None) => match parameter("watch") {
                Some((_, after)) => {
                    let wait = parameter("wait_ms").and_then(|(_, value)| value.parse().ok());
                    let after = after.parse().unwrap_or(0);
                    response(200, &json, &self.watch(&kind, after, ms(wait.unwrap_or(0))))
                }
                None => response(200, &json, &self.list(&kind)),
            },
            ("POST", _) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let name = text.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next());
                let spec = text.split_once("\"spec\":").map(|(_, rest)| &rest[..rest.len() - 1]);
                let (Some(name), Some(spec)) = (name, spec) else {
                    return response(400, &json, b"{}");
                };
                let exists = {
                    let contents = self.contents.lock().unwrap();
                    contents.objects.contains_key(&(kind.clone(), name.to_owned()))
                };
                if exists {
                    return response(409, &json, b"{}");
                }
                self.put(&kind, name, spec.as_bytes());
                response(201, &json, b"{}")
            }
            _ => response(404, &json, b"{}"),
        }
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let contents = self.contents.lock().unwrap();
        let mut body = b"{\"items\":[".to_vec();
        let items = contents.objects.iter().filter(|((own, _), _)| own == kind);
        for (position, ((_, name), object)) in items.enumerate() {
            if position > 0 {
                body.push(b',');
            }
            body.extend(object_body(name, Some(object)));
        }
        body.extend(format!("],\"more\":false,\"store_revision\":{}}}", contents.revision).bytes());
        body
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        loop {
            let is_news = |event: &&Event| event.revision > after && event.kind == kind;
            let left = until.saturating_duration_since(Instant::now());
            if contents.events.iter().any(|event| is_news(&event)) || left.is_zero() {
                let mut body = b"{\"events\":[".to_vec();
                for (position, event) in contents.events.iter().filter(is_news).enumerate() {
                    if position > 0 {
                        body.push(b',');
                    }
                    let object =
                        event.spec.clone().map(|spec| Object { revision: event.revision, spec });
                    body.extend(format!("{{\"deleted\":{},\"object\":", object.is_none()).bytes());
                    body.extend(object_body(&event.name, object.as_ref()));
                    body.push(b'}');
                }
                body.extend(format!("],\"store_revision\":{}}}", contents.revision).bytes());
                return body;
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }
}

fn object_body(name: &str, object: Option<&Object>) -> Vec<u8> {
    let revision = object.map_or(0, |object| object.revision);
    let mut body = format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"delete_pending\":false}},\"spec\":"
    )
    .into_bytes();
    body.extend(object.map_or(b"null".as_slice(), |object| &object.spec));
    body.extend(b",\"status\":null}");
    body
}

// ---------------------------------------------------------------------------------------------
// The backends

/// What a backend does with a request that it runs.
#[derive(Clone)]
pub struct Work {
    pub takes: Duration,
    pub status: u16,
    pub body: Vec<u8>,
}

/// A request that a backend ran.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    pub backend: String,
    pub service: String,
    pub began: Instant,
    pub status: u16,
}

pub type Behaviour = Arc<dyn Fn(&Message) -> Work + Send + Sync>;

pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    slots: u32,
    draining: AtomicBool,
    gone: AtomicBool,
    behaviour: Mutex<Behaviour>,
    runs: Arc<Mutex<Vec<Run>>>,
    running: AtomicU64,
    store: Arc<Store>,
}

/// The requests that all backends ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

impl Backend {
    pub fn start(
        store: &Arc<Store>,
        runs: &Runs,
        id: &str,
        service: &str,
        does: Behaviour,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            sequence: AtomicU64::new(1),
            slots: 8,
            draining: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            behaviour: Mutex::new(does),
            runs: Arc::clone(runs),
            running: AtomicU64::new(0),
            store: Arc::clone(store),
        });
        store.put("servers", id, backend.entry());
        let beating = Arc::clone(&backend);
        thread::spawn(move || {
            loop {
                thread::sleep(ms(1_200));
                if beating.gone.load(Ordering::Acquire) {
                    return;
                }
                beating.sequence.fetch_add(1, Ordering::AcqRel);
                beating.store.put_quietly("servers", &beating.id, beating.entry());
            }
        });
        let accepting = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.gone.load(Ordering::Acquire) {
                    return;
                }
                let backend = Arc::clone(&accepting);
                thread::spawn(move || {
                    let _ = backend.serve(stream);
                });
            }
        });
        backend
    }

    fn entry(&self) -> String {
        let state = if self.draining.load(Ordering::Acquire) { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"centro-a\",\"config_version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.slots,
            self.sequence.load(Ordering::Acquire),
            self.born
        )
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            if self.gone.load(Ordering::Acquire) {
                return Ok(());
            }
            let id = request.header("papayastack-attempt-id").unwrap_or("").to_owned();
            let mut headers = vec![("Papayastack-Attempt-Id", id.clone())];
            headers.push(("Papayastack-Instance-Id", self.id.clone()));
            if self.draining.load(Ordering::Acquire) {
                headers.push(("Server-Leaving", "1".to_owned()));
            }
            let meant = request.header("papayastack-target-instance");
            if meant.is_some_and(|meant| meant != self.id) {
                writer.write_all(&response(421, &headers, b""))?;
                continue;
            }
            let work = (self.behaviour.lock().unwrap().clone())(&request);
            let running = self.running.fetch_add(1, Ordering::AcqRel) + 1;
            headers.push(("Papayastack-Server-Load", format!("{running},0,{}", self.slots)));
            self.runs.lock().unwrap().push(Run {
                request: id.clone(),
                backend: self.id.clone(),
                service: self.service.clone(),
                began: Instant::now(),
                status: work.status,
            });
            thread::sleep(work.takes);
            self.running.fetch_sub(1, Ordering::AcqRel);
            headers.push(("Papayastack-Server-Seal", format!("{}.{id}.{}", self.id, work.status)));
            writer.write_all(&response(work.status, &headers, &work.body))?;
        }
        Ok(())
    }
}

/// Answers with `body` after `takes`.
pub fn answers(takes: Duration, body: Vec<u8>) -> Behaviour {
    Arc::new(move |_| Work { takes, status: 200, body: body.clone() })
}

// ---------------------------------------------------------------------------------------------
// Gateway processes

pub struct Gateway {
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Gateway {
    /// Starts a gateway that reaches the store at an address of its own. The keys are the same for all.
    pub fn start_at(folder: &Path, name: &str, store: &Store, store_address: SocketAddr) -> Self {
        let caller = loopback(free_port());
        let (ready, directory) = (loopback(free_port()), loopback(free_port()));
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"vm\":\"{name}\",\"data_centre\":\"centro-a\",\
             \"data_centres\":{{\"centro-a\":\"mx-centro\",\"centro-b\":\"mx-centro\"}},\
             \"caller_address\":\"{caller}\",\"ready_address\":\"{ready}\",\
             \"directory_address\":\"{directory}\",\"link_address\":\"{}\",\
             \"operator_address\":\"{}\",\"store_address\":\"{}\",\
             \"system_keys\":[\"papayastack at {}\"],\"address_lifetime_max_s\":5,\
             \"stop_grace_s\":6,\"repeats\":{{\"window_s\":10,\"per_request\":0.2,\"extra\":56}}}}",
            loopback(free_port()),
            loopback(free_port()),
            store_address,
            store.address,
        );
        std::fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{name}.log"));
        let mut gateway = Self { caller, ready, settings, log, child: None };
        gateway.launch();
        gateway
    }

    pub fn launch(&mut self) {
        let open =
            || std::fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/papayad")
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn();
        self.child = child.ok();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let asked = send_on_new(self.ready, b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", ms(500));
        asked.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the readiness check answers 200.
    pub fn wait_until_ready(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A new folder for the settings and logs of a run.
pub fn temporary_folder(case: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("papaya-review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

// ---------------------------------------------------------------------------------------------
// The clients

pub fn send_on_new(to: SocketAddr, request: &[u8], longest: Duration) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(longest))?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream))?.ok_or(ErrorKind::UnexpectedEof.into())
}

/// Returns a new id of a client attempt.
pub fn attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let random = std::process::id() as u64 ^ unix_ms();
    format!("{:08x}{:08x}", random as u32, NEXT.fetch_add(1, Ordering::AcqRel))
}

pub fn get(path: &str, id: &str, remaining: Duration) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nHost: leno12.example\r\nPapayastack-Attempt-Id: {id}\r\n\
         Papayastack-Time-Remaining: {}\r\n\r\n",
        remaining.as_millis()
    )
    .into_bytes()
}

pub fn post(path: &str, id: &str, remaining: Duration, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: leno12.example\r\nPapayastack-Attempt-Id: {id}\r\n\
         Papayastack-Time-Remaining: {}\r\nContent-Length: {}\r\n\r\n",
        remaining.as_millis(),
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A route to one service.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    goal_ms: u64,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"leno12.example\",\"path_prefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"goal_ms\":{goal_ms},\"priority\":2,\
         \"service\":\"{service}\",\"max_attempts\":2}}"
    )
}

/// A version of the configuration.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let described: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":110,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"config_version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        described.join(",")
    )
}

// ---------------------------------------------------------------------------------------------
// Steady traffic and the end of a run

/// How a client attempt ended.
#[derive(Clone)]
pub struct Outcome {
    pub id: String,
    pub gateway: usize,
    pub sent: Instant,
    pub ended: Instant,
    /// The answer; `None` if the connection ended without a complete one.
    pub answer: Option<(u16, Vec<(String, String)>, Vec<u8>)>,
    pub problem: String,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |(status, ..)| *status)
    }
}

/// Sends one client attempt on a new connection.
pub fn attempt(
    gateway: usize,
    to: SocketAddr,
    method: &str,
    path: &str,
    remaining: Duration,
) -> Outcome {
    let id = attempt_id();
    let bytes = match method {
        "POST" => post(path, &id, remaining, b"work"),
        _ => get(path, &id, remaining),
    };
    let sent = Instant::now();
    let answer = send_on_new(to, &bytes, remaining + ms(3_000));
    let problem = answer.as_ref().err().map_or(String::new(), ToString::to_string);
    let answer = answer.ok().map(|message| (message.status(), message.headers, message.body));
    Outcome { id, gateway, sent, ended: Instant::now(), answer, problem }
}

/// Clients that send attempts at an even pace, each on its own thread.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    sender: Option<thread::JoinHandle<()>>,
}

/// A kind of request that clients send: method, path and the time that they wait.
#[derive(Clone)]
pub struct Kind(pub &'static str, pub &'static str, pub Duration);

impl Traffic {
    /// Sends the kinds in turn, one attempt each `gap`, to the addresses in turn.
    pub fn start(to: Vec<SocketAddr>, kinds: Vec<Kind>, gap: Duration) -> Self {
        let (stop, outcomes) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (stopped, collected) = (Arc::clone(&stop), Arc::clone(&outcomes));
        let sender = thread::spawn(move || {
            let mut attempts = Vec::new();
            let mut due = Instant::now();
            for position in 0.. {
                if stopped.load(Ordering::Acquire) {
                    break;
                }
                let gateway = (position / kinds.len()) % to.len();
                let (address, collected) = (to[gateway], Arc::clone(&collected));
                let Kind(method, path, remaining) = kinds[position % kinds.len()].clone();
                attempts.push(thread::spawn(move || {
                    let outcome = attempt(gateway, address, method, path, remaining);
                    collected.lock().unwrap().push(outcome);
                }));
                due += gap;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            for attempt in attempts {
                let _ = attempt.join();
            }
        });
        Self { stop, outcomes, sender: Some(sender) }
    }

    /// Stops sending and returns the outcomes in the order of sending once all attempts have ended.
    pub fn stop(mut self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Release);
        if let Some(sender) = self.sender.take() {
            let _ = sender.join();
        }
        let mut outcomes = std::mem::take(&mut *self.outcomes.lock().unwrap());
        outcomes.sort_by_key(|outcome| outcome.sent);
        outcomes
    }
}

/// Returns how many of the outcomes are successes, and how many there are.
pub fn served<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> (usize, usize) {
    outcomes.fold((0, 0), |(served, all), it| (served + usize::from(it.status() == 200), all + 1))
}

/// Returns how many outcomes there are of each status; 0 stands for no complete answer.
pub fn statuses<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> BTreeMap<u16, usize> {
    outcomes.fold(BTreeMap::new(), |mut counts, it| {
        *counts.entry(it.status()).or_default() += 1;
        counts
    })
}

/// Ends the gateways, removes the folder and exits.
pub fn finish(record: &Record, gateways: Vec<Gateway>, folder: &Path, code: i32) -> ! {
    drop(gateways);
    let _ = std::fs::remove_dir_all(folder);
    let verdict = match code {
        OK => "the rule held",
        BROKEN => "THE RULE WAS BROKEN",
        _ => "the case could not run",
    };
    record.line(format!("exit {code}: {verdict}"));
    std::process::exit(code);
}

// ---------------------------------------------------------------------------------------------
// The links of one machine

/// The links of one machine to the backends and the store. Each can be cut: a proxy stands before each
/// backend, and the store holds its calls and answers back.
#[derive(Default)]
pub struct Links {
    /// While set, the machine is partitioned from all backends: open connections and new ones are
    /// reset.
    pub is_cut: Arc<AtomicBool>,
    /// While set, the machine is partitioned from the store: connections hang.
    pub store_is_cut: AtomicBool,
    ports: Mutex<BTreeMap<u16, u16>>,
}

impl Links {
    /// Replaces the addresses of backends in an answer of the store by those of the links.
    fn rewrite(&self, answer: Vec<u8>) -> Vec<u8> {
        let mark = "\"address\":\"127.0.0.1:";
        let text = String::from_utf8(answer).expect("the store's answers are text");
        let (head, body) = text.split_once("\r\n\r\n").expect("an answer has a head");
        let (mut rewritten, mut rest) = (String::new(), body);
        while let Some(at) = rest.find(mark) {
            rewritten += &rest[..at + mark.len()];
            rest = &rest[at + mark.len()..];
            let end = rest.find('"').expect("an address ends");
            let port = rest[..end].parse().expect("an address has a port");
            rewritten += &self.link_to(port).to_string();
            rest = &rest[end..];
        }
        rewritten += rest;
        let kept: Vec<&str> =
            head.split("\r\n").filter(|line| !line.starts_with("Content-Length")).collect();
        format!("{}\r\nContent-Length: {}\r\n\r\n{rewritten}", kept.join("\r\n"), rewritten.len())
            .into_bytes()
    }

    /// Returns the port of the link to the backend at `port`.
    fn link_to(&self, port: u16) -> u16 {
        let mut ports = self.ports.lock().unwrap();
        if let Some(link) = ports.get(&port) {
            return *link;
        }
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = listener.local_addr().unwrap().port();
        ports.insert(port, link);
        let is_cut = Arc::clone(&self.is_cut);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if is_cut.load(Ordering::Acquire) {
                    reset_when_closed(&near);
                    continue;
                }
                let Ok(far) = TcpStream::connect(("127.0.0.1", port)) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { continue };
                let (cut, cut_2) = (Arc::clone(&is_cut), Arc::clone(&is_cut));
                thread::spawn(move || pass_on(near, far, &cut));
                thread::spawn(move || pass_on(far_2, near_2, &cut_2));
            }
        });
        link
    }
}

/// Passes bytes on until either side ends or the link is cut.
fn pass_on(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let _ = from.set_read_timeout(Some(ms(10)));
    let mut bytes = vec![0; 64 * 1024];
    while !is_cut.load(Ordering::Acquire) {
        match from.read(&mut bytes) {
            Ok(count) if count > 0 && to.write_all(&bytes[..count]).is_ok() => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Ok(_) | Err(_) => {
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                return;
            }
        }
    }
    reset_when_closed(&from);
    reset_when_closed(&to);
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets `SO_LINGER` to zero seconds, so that closing the socket resets its connection.
fn reset_when_closed(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let value = [1_i32, 0];
    // SAFETY: the value is two integers long, as the length says, and outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, value.as_ptr(), 8) };
}
