//! A small store, servers, clients and gateway processes for a script of the review, all on loopback and
//! with the standard library alone. The file is the same in each case, so that each case stands alone.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const ID: &str = "papayastack-attempt-id";
pub const TARGET: &str = "papayastack-target-instance";

/// Writes what happens to the record of a case, with the seconds since its start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(path: &str) -> Arc<Self> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

/// A message of HTTP/1.1; `first` is the request line or the status line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, position: usize) -> &str {
        self.first.split(' ').nth(position).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the head of a message; `None` if the connection ended before it began.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a message whose body has a length, is chunked or is absent.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    Ok(Some(message))
}

pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Accepts connections, each in a thread of its own.
pub fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let each = Arc::clone(&each);
            thread::spawn(move || each(stream));
        }
    });
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    (listener, address)
}

/// Returns five addresses that are free for connections and for datagrams. Each gateway has a loopback
/// address of its own, so that nothing else takes its ports before it starts.
fn free_addresses(number: usize) -> [SocketAddr; 5] {
    let process = std::process::id();
    let host = format!("127.{}.{}.{}:0", 1 + (process >> 8) % 250, process % 250, number + 1);
    // All are held until the last one is found, so that no port is taken twice.
    let mut held = Vec::new();
    while held.len() < 5 {
        let listener = TcpListener::bind(&host).expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        if let Ok(datagrams) = UdpSocket::bind(address) {
            held.push((listener, datagrams, address));
        }
    }
    std::array::from_fn(|position| held[position].2)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

struct Event {
    revision: u64,
    kind: String,
    name: String,
    /// The object as text; `None` if it was removed.
    object: Option<String>,
}

struct Objects {
    revision: u64,
    by_kind: BTreeMap<String, BTreeMap<String, String>>,
    events: Vec<Event>,
}

/// The platform's store: objects with revisions, lists and watches. It listens on one address for each
/// gateway, so that it can tell them apart.
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
    /// Of which gateway, and of which kind, the next answer to a watch with events is lost.
    pub loses: Mutex<Option<(usize, String)>>,
    /// The watches that wait now, by gateway and kind.
    waiting: Mutex<BTreeMap<(usize, String), u32>>,
    pub answers: AtomicU64,
    pub lost: AtomicU64,
    record: Arc<Record>,
}

impl Store {
    pub fn start(gateways: usize, record: &Arc<Record>) -> (Arc<Self>, Vec<SocketAddr>) {
        let store = Arc::new(Self {
            objects: Mutex::new(Objects {
                revision: 100,
                by_kind: BTreeMap::new(),
                events: Vec::new(),
            }),
            changed: Condvar::new(),
            loses: Mutex::new(None),
            waiting: Mutex::default(),
            answers: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        let addresses = (0..gateways).map(|gateway| {
            let (listener, address) = listen();
            let store = Arc::clone(&store);
            serve(listener, move |stream| store.serve_connection(gateway, stream));
            address
        });
        let addresses = addresses.collect();
        (store, addresses)
    }

    /// Returns the gateways with a watch of a kind that waits now.
    pub fn watchers(&self, kind: &str) -> Vec<usize> {
        let waiting = self.waiting.lock().unwrap();
        let of_kind = waiting.iter().filter(|((_, it), count)| it == kind && **count > 0);
        of_kind.map(|((gateway, _), _)| *gateway).collect()
    }

    /// Writes an object; its `spec` is JSON text.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let object = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
             \"finalizers\":[],\"delete_pending\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let of_kind = objects.by_kind.entry(kind.to_owned()).or_default();
        of_kind.insert(name.to_owned(), object.clone());
        let (kind, name) = (kind.to_owned(), name.to_owned());
        objects.events.push(Event { revision, kind, name, object: Some(object) });
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        if objects.by_kind.get_mut(kind).and_then(|of_kind| of_kind.remove(name)).is_none() {
            return;
        }
        objects.revision += 1;
        let revision = objects.revision;
        let (kind, name) = (kind.to_owned(), name.to_owned());
        objects.events.push(Event { revision, kind, name, object: None });
        self.changed.notify_all();
    }

    fn serve_connection(&self, gateway: usize, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut stream = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let watched = between(&request.first, "/objects/", "?watch=")
                .map(|kind| (gateway, kind.to_owned()));
            let count = |change: i32| {
                if let Some(key) = watched.clone() {
                    let mut waiting = self.waiting.lock().unwrap();
                    let waiting = waiting.entry(key).or_default();
                    *waiting = waiting.saturating_add_signed(change);
                }
            };
            count(1);
            let answer = self.answer(&request, &stream);
            count(-1);
            let Some((status, body, is_news, kind)) = answer else { return };
            let loses = is_news && {
                let mut loses = self.loses.lock().unwrap();
                let loses_this = *loses == Some((gateway, kind.clone()));
                if loses_this {
                    *loses = None;
                }
                loses_this
            };
            if loses {
                self.lost.fetch_add(1, Ordering::Relaxed);
                self.record.say(&format!(
                    "the store loses the answer to a watch of {kind} by gateway {gateway}"
                ));
                // The connection stays open and returns nothing further.
                let mut rest = [0; 1024];
                while reader.read(&mut rest).is_ok_and(|read| read > 0) {}
                return;
            }
            self.answers.fetch_add(1, Ordering::Relaxed);
            let head = [("Content-Type", "application/json")];
            if stream.write_all(&response(status, &head, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, whether it is a watch with events, and the kind.
    fn answer(
        &self,
        request: &Message,
        stream: &TcpStream,
    ) -> Option<(&'static str, String, bool, String)> {
        thread::sleep(Duration::from_millis(4));
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(|name| name.replace("%3A", ":").replace("%2F", "/"));
        let plain = |status, body: String| Some((status, body, false, kind.clone()));
        match (request.word(0), name) {
            ("POST", None) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let name = between(&body, "\"name\":\"", "\"")?.to_owned();
                let spec = body.split_once("\"spec\":")?.1.trim_end().strip_suffix('}')?.to_owned();
                let exists = |objects: &Objects| {
                    objects.by_kind.get(&kind).and_then(|of_kind| of_kind.get(&name)).cloned()
                };
                let existing = exists(&self.objects.lock().unwrap());
                if let Some(existing) = existing {
                    return plain("409 Conflict", existing);
                }
                self.put(&kind, &name, &spec);
                let object = exists(&self.objects.lock().unwrap())?;
                plain("200 OK", object)
            }
            ("GET", Some(name)) => {
                let objects = self.objects.lock().unwrap();
                match objects.by_kind.get(&kind).and_then(|of_kind| of_kind.get(&name)) {
                    Some(object) => plain("200 OK", object.clone()),
                    None => plain("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", None) if query.contains_key("watch") => {
                let after: u64 = query["watch"].parse().ok()?;
                let wait_ms: u64 = query.get("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                let mut objects = self.objects.lock().unwrap();
                loop {
                    let news = objects.events.iter();
                    let news = news.filter(|event| event.revision > after && event.kind == kind);
                    let events: Vec<String> = news.map(event_text).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"events\":[{}],\"store_revision\":{}}}",
                            events.join(","),
                            objects.revision
                        );
                        return Some(("200 OK", body, !events.is_empty(), kind));
                    }
                    let pause = left.min(Duration::from_millis(250));
                    objects = self.changed.wait_timeout(objects, pause).unwrap().0;
                    if is_closed(stream) {
                        return None;
                    }
                }
            }
            ("GET", None) => {
                let objects = self.objects.lock().unwrap();
                let items: Vec<String> = objects
                    .by_kind
                    .get(&kind)
                    .into_iter()
                    .flat_map(|it| it.values().cloned())
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"more\":false,\"store_revision\":{}}}",
                    items.join(","),
                    objects.revision
                );
                plain("200 OK", body)
            }
            _ => plain("400 Bad Request", "{}".to_owned()),
        }
    }
}

fn event_text(event: &Event) -> String {
    match &event.object {
        Some(object) => format!("{{\"deleted\":false,\"object\":{object}}}"),
        None => {
            let (name, revision) = (&event.name, event.revision);
            format!(
                "{{\"deleted\":true,\"object\":{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":null,\"status\":null}}}}"
            )
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let closed = matches!(stream.peek(&mut byte), Ok(0));
    let _ = stream.set_nonblocking(false);
    closed
}

fn between<'a>(text: &'a str, before: &str, after: &str) -> Option<&'a str> {
    Some(text.split_once(before)?.1.split_once(after)?.0)
}

/// One arrival of a request at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub server: String,
    pub ran: bool,
    pub status: u16,
    pub seal: String,
    pub body: Vec<u8>,
}

/// What a server does with a request that it runs.
pub struct Work {
    pub takes: Duration,
    pub status: &'static str,
    pub body: Vec<u8>,
}

type Handler = dyn Fn(&Message) -> Work + Send + Sync;

/// A server of one service: echoes the attempt id, seals its answers and turns away what is meant for
/// another instance.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    pub leaving: AtomicBool,
    pub is_gone: AtomicBool,
    sequence: AtomicU64,
}

static SEALS: AtomicU64 = AtomicU64::new(1);

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        arrivals: &Arrivals,
        handler: impl Fn(&Message) -> Work + Send + Sync + 'static,
    ) -> Arc<Self> {
        let (listener, address) = listen();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: unix_ms(),
            leaving: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            sequence: AtomicU64::new(1),
        });
        let (it, arrivals) = (Arc::clone(&server), Arc::clone(arrivals));
        let handler: Arc<Handler> = Arc::new(handler);
        serve(listener, move |stream| it.serve_connection(stream, &arrivals, &*handler));
        server
    }

    fn serve_connection(&self, mut stream: TcpStream, arrivals: &Arrivals, handler: &Handler) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.is_gone.load(Ordering::Relaxed) {
                return;
            }
            let at = Instant::now();
            let id = request.header(ID).unwrap_or("").to_owned();
            let for_another = request.header(TARGET).is_some_and(|target| target != self.id);
            let arrival = |ran, status, seal: &str, body: &[u8]| Arrival {
                at,
                id: id.clone(),
                server: self.id.clone(),
                ran,
                status,
                seal: seal.to_owned(),
                body: body.to_vec(),
            };
            if for_another {
                arrivals.lock().unwrap().push(arrival(false, 421, "", &[]));
                let head = [
                    ("Papayastack-Instance-Id", self.id.as_str()),
                    ("Papayastack-Attempt-Id", &id),
                ];
                if stream.write_all(&response("421 Misdirected Request", &head, &[])).is_err() {
                    return;
                }
                continue;
            }
            let work = handler(&request);
            let number = SEALS.fetch_add(1, Ordering::Relaxed);
            let seal = format!(
                "{number:x}.07.5a2.{:x}.0.{:08x}",
                work.body.len(),
                number.wrapping_mul(2_654_435_761) as u32
            );
            let status: u16 = work.status.split(' ').next().unwrap_or("").parse().unwrap_or(0);
            // Recorded when the work begins.
            arrivals.lock().unwrap().push(arrival(true, status, &seal, &work.body));
            thread::sleep(work.takes);
            let mut head = vec![
                ("Papayastack-Attempt-Id", id.as_str()),
                ("Papayastack-Server-Seal", seal.as_str()),
                ("Papayastack-Server-Load", "1,0,5"),
            ];
            if self.leaving.load(Ordering::Relaxed) {
                head.push(("Server-Leaving", "1"));
            }
            if stream.write_all(&response(work.status, &head, &work.body)).is_err() {
                return;
            }
        }
    }

    pub fn entry(&self, state: &str) -> String {
        let Self { service, address, zone, born, .. } = self;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"config_version\":\"v1\",\"slots\":5,\"state\":\"{state}\",\"cold_left_ms\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        )
    }
}

/// A gateway process, started as the deploy file says.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
}

const ZONES: [&str; 3] = ["centro-a", "centro-b", "centro-c"];

impl Gateway {
    pub fn new(folder: &str, number: usize, store: SocketAddr) -> Self {
        let name = format!("front-{number}");
        let [front, ready, directory, link, operator] = free_addresses(number);
        let zone = ZONES[number % ZONES.len()];
        let settings = format!(
            "{{\"vm\":\"{name}\",\"data_centre\":\"{zone}\",\"data_centres\":{{\"centro-a\":\"mx-centro\",\
             \"centro-b\":\"mx-centro\",\"centro-c\":\"mx-centro\"}},\"caller_address\":\"{front}\",\
             \"ready_address\":\"{ready}\",\"directory_address\":\"{directory}\",\
             \"link_address\":\"{link}\",\"operator_address\":\"{operator}\",\
             \"store_address\":\"{store}\",\"system_keys\":[\"papayastack at the store\"],\
             \"address_lifetime_max_s\":5,\"stop_grace_s\":6,\
             \"repeats\":{{\"window_s\":10,\"per_request\":0.2,\"extra\":56}}}}"
        );
        let path = PathBuf::from(folder).join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let output = PathBuf::from(folder).join(format!("{name}.log"));
        Self { name, front, ready, settings: path, output, child: None }
    }

    pub fn start(&mut self) {
        let output = File::options().create(true).append(true).open(&self.output).expect("a log");
        let errors = output.try_clone().expect("a second handle");
        let child = Command::new("target/release/papayad")
            .arg("gateway")
            .env("PAPAYASTACK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => cannot_run(&format!("target/release/papayad does not start: {error}")),
        }
    }

    pub fn is_ready(&self) -> bool {
        let mut connection = match Connection::open(self.ready) {
            Ok(connection) => connection,
            Err(_) => return false,
        };
        let request = format!("GET /readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        let answer = connection.ask(request.as_bytes(), Duration::from_secs(1));
        matches!(answer, Outcome::Answer(answer) if answer.status() == 200)
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|process| *process != child.id());
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn wait_until_ready(gateways: &[Gateway], longest: Duration) -> bool {
    let until = Instant::now() + longest;
    while Instant::now() < until {
        if gateways.iter().all(Gateway::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// What a client sees of a request.
#[derive(Debug)]
pub enum Outcome {
    Answer(Message),
    /// The connection ended with no complete answer.
    Cut(String),
    /// No connection could be made.
    Refused,
    Late,
}

impl Outcome {
    pub fn text(&self) -> String {
        match self {
            Self::Answer(answer) => {
                let body = if answer.status() < 300 {
                    String::new()
                } else {
                    String::from_utf8_lossy(&answer.body).into_owned()
                };
                format!("{} {body}", answer.status())
            }
            Self::Cut(why) => format!("connection ended without a complete answer ({why})"),
            Self::Refused => "no connection".to_owned(),
            Self::Late => "no answer in time".to_owned(),
        }
    }
}

/// A client's connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, request: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(request)
    }

    pub fn ask(&mut self, request: &[u8], longest: Duration) -> Outcome {
        if let Err(error) = self.send(request) {
            return Outcome::Cut(error.to_string());
        }
        let _ = self.reader.get_ref().set_read_timeout(Some(longest));
        match read_message(&mut self.reader) {
            Ok(Some(answer)) => Outcome::Answer(answer),
            Ok(None) => Outcome::Cut("closed".to_owned()),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Outcome::Late
            }
            Err(error) => Outcome::Cut(error.to_string()),
        }
    }
}

pub fn request(method: &str, path: &str, id: &str, left_ms: u64, body: &[u8]) -> Vec<u8> {
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: leno12.example\r\nPapayastack-Attempt-Id: {id}\r\n\
         Papayastack-Time-Remaining: {left_ms}\r\n{length}\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Asks on a new connection.
pub fn ask(address: SocketAddr, request: &[u8], longest: Duration) -> Outcome {
    match Connection::open(address) {
        Ok(mut connection) => connection.ask(request, longest),
        Err(_) => Outcome::Refused,
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

pub fn attempt_id() -> String {
    let number = IDS.fetch_add(1, Ordering::Relaxed) ^ (unix_ms() << 16);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Returns the operator's configuration.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":41,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"config_version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    timeout_ms: u64,
    goal_ms: u64,
    target: &str,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"leno12.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"goal_ms\":{goal_ms},\"priority\":1,\"max_attempts\":2,{target}}}"
    )
}

/// The processes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that still run, and this one with code 2.
pub fn cannot_run(why: &str) -> ! {
    for process in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").arg("-KILL").arg(process.to_string()).status();
    }
    println!("the case cannot run: {why}");
    std::process::exit(2);
}

/// What all scripts need.
pub struct Setting {
    pub record: Arc<Record>,
    pub with_trouble: bool,
    pub folder: String,
}

/// The machines of a small deployment.
pub const GATEWAYS: usize = 4;

impl Setting {
    /// Creates the store and the gateways, which are not started yet.
    pub fn deployment(&self) -> (Arc<Store>, Vec<Gateway>) {
        let (store, addresses) = Store::start(GATEWAYS, &self.record);
        let gateways = addresses.iter().enumerate();
        let gateways =
            gateways.map(|(number, address)| Gateway::new(&self.folder, number, *address));
        (store, gateways.collect())
    }

    /// Starts all gateways and waits until they are ready and have found each other.
    pub fn start(&self, gateways: &mut [Gateway]) {
        gateways.iter_mut().for_each(Gateway::start);
        if !wait_until_ready(gateways, Duration::from_secs(15)) {
            cannot_run("the gateways do not become ready");
        }
        std::thread::sleep(Duration::from_secs(3));
        self.record.say("all gateways are ready");
    }
}

/// Plays a case: `RECORD` is the only argument. Exits with 1 if the rule was broken, with 0 if it held, and
/// with 2 if the case could not run. `TROUBLE=0` leaves the disruption out.
pub fn run(case: &str, play: impl FnOnce(&Setting) -> bool) -> ! {
    let Some(record) = std::env::args().nth(1) else {
        cannot_run("the path of the record is missing")
    };
    let folder = std::env::temp_dir().join(format!("papaya-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = folder.to_string_lossy().into_owned();
    let setting = Setting { record: Record::open(&record), with_trouble, folder };
    setting.record.say(&format!("case {case}, with the disruption: {with_trouble}"));
    let broken = play(&setting);
    setting.record.say(if broken { "RULE BROKEN" } else { "the rule held" });
    let _ = std::fs::remove_dir_all(&setting.folder);
    std::process::exit(i32::from(broken));
}
