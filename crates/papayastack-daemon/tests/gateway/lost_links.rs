//! A VM that loses its links to all upstreams, while callers, the store and another VM reach it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use papayastack::{FeedStore, HeaderNames, IngressFormat, ListedState, ListedVm, ObjectName};
use papayastack_platform::{PlatformIngress, PlatformStore};
use papayastack_standin::PlatformStandin;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::support::{
    BACKEND, CONFIGURATION, GatewayProcess, PATIENCE, Upstream, any_port, put_backend, read_head,
    start_store,
};

const UPSTREAMS: usize = 5;
/// How long callers wait for an answer.
const DEADLINE: Duration = Duration::from_millis(300);
/// The time from the loss of the links on from which the VM must serve again.
const CONTACT: Duration = Duration::from_secs(4);
const REQUESTS: usize = 60;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Links {
    Sound,
    /// Open connections fall silent, and new ones get no reply.
    Silent,
    /// Open connections are closed, and new ones are refused.
    Refused,
    /// Open connections live on, and new ones are refused.
    RefusedIfNew,
}

/// Stands between one VM and one upstream.
struct LinkProxy {
    address: SocketAddr,
    links: watch::Sender<Links>,
}

impl LinkProxy {
    async fn bind(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind(any_port()).await.expect("a port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let (links, watched) = watch::channel(Links::Sound);
        tokio::spawn(pass_connections(listener, address, upstream, watched));
        Self { address, links }
    }
}

async fn pass_connections(
    listener: TcpListener,
    address: SocketAddr,
    upstream: SocketAddr,
    mut links: watch::Receiver<Links>,
) {
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let current = *links.borrow_and_update();
        match current {
            Links::Refused => {
                listener = None;
                connections.shutdown().await;
            }
            Links::RefusedIfNew => listener = None,
            Links::Sound | Links::Silent => {}
        }
        if listener.is_none() && matches!(current, Links::Sound | Links::Silent) {
            listener = Some(TcpListener::bind(address).await.expect("the port is free again"));
        }
        let Some(bound) = &listener else {
            if links.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            accepted = bound.accept() => {
                let (stream, _) = accepted.expect("connections can be accepted");
                connections.spawn(pass(stream, upstream, links.clone()));
            }
            changed = links.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Copies both ways until the links fall silent; the connection then stays open.
async fn pass(mut stream: TcpStream, upstream: SocketAddr, mut links: watch::Receiver<Links>) {
    if *links.borrow() != Links::Silent
        && let Ok(mut onward) = TcpStream::connect(upstream).await
    {
        tokio::select! {
            _ = copy_bidirectional(&mut stream, &mut onward) => return,
            _ = links.wait_for(|links| *links == Links::Silent) => {}
        }
    }
    std::future::pending::<()>().await;
}

/// Two VMs that know each other, each with its own store; the first reaches the upstreams through
/// proxies only.
struct Pair {
    cut: GatewayProcess,
    sound: GatewayProcess,
    proxies: Vec<LinkProxy>,
    upstreams: Vec<Upstream>,
    /// The stores of the cut VM and of the sound one.
    stores: [PlatformStandin; 2],
}

impl Pair {
    async fn start() -> Self {
        Self::start_with(CONFIGURATION.to_owned()).await
    }

    async fn start_with(configuration: String) -> Self {
        let stores = [start_store(None).await, start_store(None).await];
        for store in &stores {
            let configuration = serde_json::from_str(&configuration).expect("fixtures are JSON");
            store.put_object(&ObjectName::new("config", "main"), configuration);
        }
        let (mut proxies, mut upstreams) = (Vec::new(), Vec::new());
        for number in 0..UPSTREAMS {
            let upstream = Upstream::bind(Duration::from_millis(5)).await;
            let proxy = LinkProxy::bind(upstream.address).await;
            put_backend(&stores[0], number, proxy.address);
            put_backend(&stores[1], number, upstream.address);
            proxies.push(proxy);
            upstreams.push(upstream);
        }
        let sound = GatewayProcess::start(stores[1].address()).await;
        let listed = ListedVm {
            address: sound.link_address,
            data_centre: "a".to_owned(),
            entry_vm: true,
            state: ListedState::Live,
        };
        let client = PlatformStore::open(vec![stores[0].address()]);
        client.register_vm(&listed).await.expect("the stand-in store takes writes");
        let [own_store, others_store] = [stores[0].address(), stores[1].address()];
        let cut = GatewayProcess::start_with_members_of(own_store, others_store).await;
        for vm in [&cut, &sound] {
            vm.wait_until_served().await;
            vm.wait_until_names(cut.caller_address).await;
            vm.wait_until_names(sound.caller_address).await;
        }
        let pair = Self { cut, sound, proxies, upstreams, stores };
        pair.count_served(pair.cut.caller_address, "warm").await;
        pair
    }

    fn set_links(&self, links: Links) {
        for proxy in &self.proxies {
            proxy.links.send_replace(links);
        }
    }

    /// Sends requests to a VM; returns how many are served within the callers' deadline.
    async fn count_served(&self, address: SocketAddr, name: &str) -> usize {
        let mut served = 0;
        for number in 0..REQUESTS {
            let id = format!("{name}-{number}");
            let status = tokio::time::timeout(DEADLINE, exchange(address, &id)).await;
            served += usize::from(status == Ok(Some(200)));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        served
    }

    /// Writes a later version, which moves the route to the service `two`, to a store.
    fn move_route(&self, store: &PlatformStandin) {
        let moved = CONFIGURATION
            .replace("\"config_version\": 5", "\"config_version\": 8")
            .replace("\"service\": \"one\"", "\"service\": \"two\"")
            .replace("\"name\": \"one\"", "\"name\": \"two\"");
        let moved = serde_json::from_str(&moved).expect("fixtures are JSON");
        store.put_object(&ObjectName::new("config", "main"), moved);
    }

    fn arrived(&self) -> usize {
        self.upstreams.iter().map(Upstream::arrived).sum()
    }
}

/// Sends one request on a new connection; returns the status.
async fn exchange(address: SocketAddr, id: &str) -> Option<u16> {
    let names = PlatformIngress::new();
    let HeaderNames { request_id, remaining_ms, .. } = names.headers();
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: a.example\r\n{request_id}: {id}\r\n\
         {remaining_ms}: {}\r\nconnection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// Sends requests until the VM gives one the status.
async fn wait_for_status(vm: &GatewayProcess, status: u16) {
    let given = async {
        while exchange(vm.caller_address, "warm").await != Some(status) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, given).await.expect("a request gets the status");
}

async fn assert_served_while(links: Links) {
    let pair = Pair::start().await;
    pair.set_links(links);
    tokio::time::sleep(CONTACT).await;

    let served = pair.count_served(pair.cut.caller_address, "cut").await;
    let by_other = pair.count_served(pair.sound.caller_address, "sound").await;

    assert!(served * 3 >= by_other * 2, "{served} of {REQUESTS} served, {by_other} at the other");
    pair.set_links(Links::Sound);
    tokio::time::sleep(CONTACT).await;
    let before = pair.arrived();
    let after = pair.count_served(pair.cut.caller_address, "after").await;
    assert!(after * 20 >= REQUESTS * 19, "{after} of {REQUESTS} served after the loss");
    assert!(pair.arrived() >= before + after, "the upstreams got fewer requests than were served");
}

// Guards against a VM that keeps failing its callers' requests while another VM could serve them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_whose_links_fall_silent_serves_through_another_vm() {
    assert_served_while(Links::Silent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_whose_links_are_refused_serves_through_another_vm() {
    assert_served_while(Links::Refused).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_whose_new_links_are_refused_serves_through_another_vm() {
    assert_served_while(Links::RefusedIfNew).await;
}

// Guards against requests that are passed on in a circle, or wait, where no VM has links.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_vms_without_links_refuse_at_once_and_pass_nothing_on_twice() {
    let pair = Pair::start().await;
    pair.set_links(Links::Refused);
    pair.upstreams.iter().for_each(Upstream::close);
    for address in [pair.cut.caller_address, pair.sound.caller_address] {
        pair.count_served(address, "unserved").await;
    }

    let started = Instant::now();
    for number in 0..REQUESTS {
        let vm = if number % 2 == 0 { &pair.cut } else { &pair.sound };
        assert_eq!(exchange(vm.caller_address, &format!("r-{number}")).await, Some(503));
    }

    assert!(started.elapsed() < DEADLINE * REQUESTS as u32 / 4, "{:?}", started.elapsed());
}

// Guards against a second run of a request that must run at most once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_runs_at_most_once_does_so_through_another_vm() {
    let pair = Pair::start_with(CONFIGURATION.replace("\"safe\"", "\"unsafe\"")).await;
    pair.set_links(Links::Refused);
    pair.count_served(pair.cut.caller_address, "first").await;
    let before = pair.arrived();

    let served = pair.count_served(pair.cut.caller_address, "once").await;

    assert!(served * 3 >= REQUESTS * 2, "{served} of {REQUESTS} served");
    let arrived = pair.arrived() - before;
    assert!(arrived <= REQUESTS, "{arrived} runs of {REQUESTS} requests");
}

/// Writes the entry of an upstream of the service `two`.
fn put_second_service(store: &PlatformStandin, number: usize, address: SocketAddr) {
    let entry = BACKEND.replace("ADDRESS", &address.to_string()).replace("\"one\"", "\"two\"");
    let entry = serde_json::from_str(&entry).expect("fixtures are JSON");
    store.put_object(&ObjectName::new("servers", format!("i-second-{number}")), entry);
}

// Guards against a service that gets requests through another VM after this one has left it, since
// that VM still has the earlier version of the routes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_with_earlier_routes_serves_no_request_of_a_vm_without_links() {
    let pair = Pair::start().await;
    let second = Upstream::bind(Duration::from_millis(5)).await;
    let mut proxies = Vec::new();
    for number in 0..UPSTREAMS {
        let proxy = LinkProxy::bind(second.address).await;
        put_second_service(&pair.stores[0], number, proxy.address);
        proxies.push(proxy);
    }
    pair.move_route(&pair.stores[0]);
    let moved = async {
        while second.arrived() == 0 {
            exchange(pair.cut.caller_address, "moved").await;
        }
    };
    tokio::time::timeout(PATIENCE, moved).await.expect("the later version takes effect");
    let before = pair.arrived();

    pair.set_links(Links::Refused);
    for proxy in &proxies {
        proxy.links.send_replace(Links::Refused);
    }
    pair.count_served(pair.cut.caller_address, "cut").await;

    assert_eq!(pair.arrived() - before, 0);
    assert_eq!(exchange(pair.cut.caller_address, "refused").await, Some(503));
}

// Guards against a VM that returns to its own, earlier routes once its links are back, although
// another VM has served its callers by later ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_was_served_by_later_routes_does_not_return_to_its_own() {
    let pair = Pair::start().await;
    let second = Upstream::bind(Duration::from_millis(5)).await;
    put_second_service(&pair.stores[1], 0, second.address);
    pair.move_route(&pair.stores[1]);
    pair.set_links(Links::Refused);
    let served_by_other = async {
        while second.arrived() == 0 {
            exchange(pair.cut.caller_address, "cut").await;
        }
    };
    tokio::time::timeout(PATIENCE, served_by_other).await.expect("the other VM serves");
    let before = pair.arrived();

    pair.set_links(Links::Sound);
    tokio::time::sleep(CONTACT).await;
    let served = pair.count_served(pair.cut.caller_address, "back").await;

    assert_eq!(pair.arrived() - before, 0);
    assert!(served * 20 >= REQUESTS * 19, "{served} of {REQUESTS} served");
}

// Guards against requests that wait for their deadline although no VM can serve them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_without_links_and_without_other_vms_refuses_at_once() {
    let store = start_store(None).await;
    for number in 0..UPSTREAMS {
        let gone = TcpListener::bind(any_port()).await.expect("a port is free");
        put_backend(&store, number, gone.local_addr().expect("a listener has an address"));
    }
    let vm = GatewayProcess::start(store.address()).await;
    wait_for_status(&vm, 503).await;

    let started = Instant::now();
    for number in 0..REQUESTS {
        assert_eq!(exchange(vm.caller_address, &format!("r-{number}")).await, Some(503));
    }

    assert!(
        started.elapsed() < DEADLINE * REQUESTS as u32,
        "the refusals took as long as deadlines"
    );
}

// Guards against a request that takes all attempts of its route at each of two VMs.
#[tokio::test]
async fn a_vm_that_serves_for_another_makes_no_more_attempts_than_are_left() {
    let store = start_store(None).await;
    let attempts = Arc::new(AtomicUsize::new(0));
    for number in 0..UPSTREAMS {
        let listener = TcpListener::bind(any_port()).await.expect("a port is free");
        put_backend(&store, number, listener.local_addr().expect("a listener has an address"));
        tokio::spawn(close_after_head(listener, Arc::clone(&attempts)));
    }
    let vm = GatewayProcess::start(store.address()).await;
    wait_for_status(&vm, 502).await;

    let before = attempts.load(Ordering::Acquire);
    let head = format!(
        "GET /read/x HTTP/1.1\r\nhost: a.example\r\n{}: the-id\r\npapaya-relay-attempts: 1\r\n\
         connection: close\r\n\r\n",
        PlatformIngress::new().headers().request_id
    );
    let mut stream = TcpStream::connect(vm.link_address).await.expect("the VM listens");
    stream.write_all(head.as_bytes()).await.expect("the VM reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("the VM responds");

    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(attempts.load(Ordering::Acquire) - before, 1);
}

/// Sends a request as another VM does, with further headers; returns the head of the response.
async fn relay(vm: &GatewayProcess, host: &str, headers: &str) -> String {
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: {host}\r\n{}: the-id\r\n{headers}connection: close\r\n\r\n",
        PlatformIngress::new().headers().request_id
    );
    let mut stream = TcpStream::connect(vm.link_address).await.expect("the VM listens");
    stream.write_all(request.as_bytes()).await.expect("the VM reads");
    read_head(&mut stream).await.expect("the VM responds")
}

// Guards against builds that misread each other: one that names no version is served as before and
// gets no header that it would pass on, and one that is named a later version refuses.
#[tokio::test]
async fn a_relayed_request_is_served_by_the_version_that_it_names_if_any() {
    let upstream = Upstream::bind(Duration::ZERO).await;
    let store = start_store(Some(&upstream)).await;
    let vm = GatewayProcess::start(store.address()).await;
    vm.wait_until_served().await;

    let earlier_build = relay(&vm, "a.example", "").await;
    let current = relay(&vm, "a.example", "papaya-relay-routes-version: 5\r\n").await;
    let hosted = "papaya-relay-routes-version: 5\r\npapaya-attempt-host: a.example\r\n";
    let hosted = relay(&vm, "relay.papaya", hosted).await;
    let later = relay(&vm, "a.example", "papaya-relay-routes-version: 6\r\n").await;
    // What an earlier build does with a request for a VM that may be behind.
    let unknown_host = relay(&vm, "relay.papaya", "").await;

    assert!(earlier_build.starts_with("HTTP/1.1 200"), "{earlier_build}");
    assert!(!earlier_build.contains("papaya-relay-routes-version"), "{earlier_build}");
    for served in [current, hosted] {
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
        assert!(served.contains("papaya-relay-routes-version: 5"), "{served}");
    }
    for refused in [later, unknown_host] {
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        assert!(refused.contains("papaya-relay-outcome: not_serving"), "{refused}");
    }
}

/// Counts each request and closes its connection without a reply.
async fn close_after_head(listener: TcpListener, attempts: Arc<AtomicUsize>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        if read_head(&mut stream).await.is_some() {
            attempts.fetch_add(1, Ordering::AcqRel);
        }
    }
}
