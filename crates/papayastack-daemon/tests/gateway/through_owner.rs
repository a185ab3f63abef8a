//! VMs that may open no connection to an upstream, since it accepts fewer than there are VMs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use papayastack::{FeedStore, IngressFormat, ListedState, ListedVm, ObjectName};
use papayastack_platform::{PlatformIngress, PlatformStore};
use papayastack_standin::PlatformStandin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::support::{
    BACKEND, CONFIGURATION, GatewayProcess, any_port, put_backend, read_head, start_store,
};

const VMS: usize = 5;
/// The connections that the upstream accepts: one for each of its owners.
const CONNECTIONS_MAX: usize = 3;
const REQUESTS: usize = 20;

/// An upstream that counts its connections and keeps the heads of its requests.
#[derive(Default)]
struct Counted {
    open: AtomicUsize,
    most_open: AtomicUsize,
    heads: Mutex<Vec<String>>,
}

impl Counted {
    fn arrived(&self) -> usize {
        self.heads.lock().expect("no test panics while it holds the lock").len()
    }
}

async fn accept(listener: TcpListener, counted: Arc<Counted>) {
    while let Ok((stream, _)) = listener.accept().await {
        let counted = Arc::clone(&counted);
        tokio::spawn(async move {
            let open = counted.open.fetch_add(1, Ordering::AcqRel) + 1;
            counted.most_open.fetch_max(open, Ordering::AcqRel);
            serve(stream, &counted).await;
            counted.open.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

async fn serve(mut stream: TcpStream, counted: &Counted) {
    let names = PlatformIngress::new();
    let names = names.headers();
    while let Some(head) = read_head(&mut stream).await {
        let id_name = format!("{}: ", names.request_id);
        let id = head.lines().find_map(|line| line.strip_prefix(&id_name)).unwrap_or("").to_owned();
        counted.heads.lock().expect("no test panics while it holds the lock").push(head);
        tokio::time::sleep(Duration::from_millis(5)).await;
        let reply = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal of {id}\r\ncontent-length: 6\r\n\r\nanswer",
            names.request_id, names.seal
        );
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

struct Fleet {
    vms: Vec<GatewayProcess>,
    upstream: Arc<Counted>,
    store: PlatformStandin,
}

impl Fleet {
    /// Starts VMs that know each other, and an upstream that accepts fewer connections.
    async fn start(configuration: &str) -> Self {
        let store = start_store(None).await;
        let limit = format!("\"max_connections\": {CONNECTIONS_MAX}");
        let configuration = configuration.replace("\"max_connections\": 40", &limit);
        let configuration = serde_json::from_str(&configuration).expect("fixtures are JSON");
        store.put_object(&ObjectName::new("config", "main"), configuration);
        let listener = TcpListener::bind(any_port()).await.expect("a port is free");
        put_backend(&store, 1, listener.local_addr().expect("a listener has an address"));
        let upstream = Arc::new(Counted::default());
        tokio::spawn(accept(listener, Arc::clone(&upstream)));
        let mut vms = Vec::new();
        for _ in 0..VMS {
            vms.push(GatewayProcess::start(store.address()).await);
        }
        for vm in &vms {
            for other in &vms {
                vm.wait_until_names(other.caller_address).await;
            }
        }
        Self { vms, upstream, store }
    }

    /// Sends requests to each VM, one after the other; returns how many are served.
    async fn count_served(&self, name: &str) -> usize {
        let mut served = 0;
        for (number, vm) in self.vms.iter().enumerate() {
            for request in 0..REQUESTS {
                let id = format!("{name}-{number}-{request}");
                let answer = exchange(vm.caller_address, &id).await.unwrap_or_default();
                if answer.starts_with("HTTP/1.1 200") {
                    assert!(answer.contains(&format!("seal of {id}")), "{answer}");
                    assert!(answer.ends_with("answer") && !answer.contains("papaya-"), "{answer}");
                    served += 1;
                }
            }
        }
        served
    }
}

/// Sends one request on a new connection; returns the whole answer.
async fn exchange(address: SocketAddr, id: &str) -> Option<String> {
    let names = PlatformIngress::new();
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: a.example\r\n{}: {id}\r\nconnection: close\r\n\r\n",
        names.headers().request_id
    );
    send(address, &request).await
}

async fn send(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    Some(answer)
}

// Guards against connections that an upstream resets, where there are more VMs than it accepts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vms_without_a_connection_send_through_an_owner_of_the_upstream() {
    let fleet = Fleet::start(CONFIGURATION).await;
    fleet.count_served("warm").await;
    fleet.upstream.most_open.store(0, Ordering::Release);

    let served = fleet.count_served("read").await;

    assert_eq!(served, VMS * REQUESTS);
    let most_open = fleet.upstream.most_open.load(Ordering::Acquire);
    assert!(most_open <= CONNECTIONS_MAX, "{most_open} connections");
    for head in fleet.upstream.heads.lock().expect("no test panics while it holds it").iter() {
        assert!(head.contains("host: a.example\r\n") && !head.contains("papaya-attempt"), "{head}");
    }
}

// Guards against a request that runs twice, once at the VM and once at an owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_runs_at_most_once_does_so_through_an_owner() {
    let fleet = Fleet::start(&CONFIGURATION.replace("\"safe\"", "\"unsafe\"")).await;
    let before = fleet.upstream.arrived();

    let served = fleet.count_served("once").await;

    let arrived = fleet.upstream.arrived() - before;
    assert!(arrived <= VMS * REQUESTS, "{arrived} runs");
    assert_eq!(served, VMS * REQUESTS);
}

// Guards against VMs that lose their way to an upstream with its owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_other_vms_serve_on_after_an_owner_was_killed() {
    let mut fleet = Fleet::start(CONFIGURATION).await;
    fleet.count_served("warm").await;
    for _ in 0..2 {
        let mut killed = fleet.vms.remove(0);
        killed.kill();
        killed.exit_code().await;
    }

    tokio::time::sleep(Duration::from_secs(4)).await;
    let served = fleet.count_served("after").await;

    assert_eq!(served, (VMS - 2) * REQUESTS);
}

// Guards against an attempt that is taken for a caller's request, or whose end is not told truly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_attempt_for_an_unknown_upstream_is_not_sent() {
    let fleet = Fleet::start(CONFIGURATION).await;
    let before = fleet.upstream.arrived();
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: attempt.papaya\r\n{}: the-id\r\n\
         papaya-attempt-host: a.example\r\npapaya-attempt-upstream: gone\r\n\
         connection: close\r\n\r\n",
        PlatformIngress::new().headers().request_id
    );

    let answer = send(fleet.vms[0].link_address, &request).await.expect("the VM responds");

    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("papaya-attempt-outcome: withdrawn"), "{answer}");
    assert_eq!(fleet.upstream.arrived(), before);
}

// Guards against an owner that acts on another VM's configuration: it would be seen to use a later
// version, and after that its own older one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_sends_no_attempt_that_its_own_routes_do_not_allow() {
    let fleet = Fleet::start(CONFIGURATION).await;
    let listener = TcpListener::bind(any_port()).await.expect("a port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let other_service = Arc::new(Counted::default());
    tokio::spawn(accept(listener, Arc::clone(&other_service)));
    let entry = BACKEND
        .replace("ADDRESS", &address.to_string())
        .replace("\"service\": \"one\"", "\"service\": \"two\"");
    let entry = serde_json::from_str(&entry).expect("fixtures are JSON");
    fleet.store.put_object(&ObjectName::new("servers", "i-2"), entry);
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: attempt.papaya\r\n{}: the-id\r\n\
         papaya-attempt-host: a.example\r\npapaya-attempt-upstream: i-2\r\n\
         connection: close\r\n\r\n",
        PlatformIngress::new().headers().request_id
    );
    let answer = |vm: SocketAddr| send(vm, &request);
    // The VM knows the upstream once it no longer takes it for one that left.
    let known = async {
        loop {
            let answer = answer(fleet.vms[0].link_address).await.expect("the VM responds");
            if !answer.contains("papaya-attempt-outcome: withdrawn") {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };

    let answer = tokio::time::timeout(Duration::from_secs(10), known).await.expect("it is known");

    assert!(answer.contains("papaya-attempt-outcome: not_serving"), "{answer}");
    assert_eq!(other_service.arrived(), 0);
}

// Guards against a VM without a way to a shard, as where all owners run an earlier build or are
// gone and the others have not noticed yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_none_of_whose_owners_serves_sends_by_itself() {
    const GONE_VMS: u16 = 200;
    let store = start_store(None).await;
    let limit = format!("\"max_connections\": {CONNECTIONS_MAX}");
    let configuration = CONFIGURATION.replace("\"max_connections\": 40", &limit);
    let configuration = serde_json::from_str(&configuration).expect("fixtures are JSON");
    store.put_object(&ObjectName::new("config", "main"), configuration);
    let listener = TcpListener::bind(any_port()).await.expect("a port is free");
    put_backend(&store, 1, listener.local_addr().expect("a listener has an address"));
    tokio::spawn(accept(listener, Arc::default()));
    let client = PlatformStore::open(vec![store.address()]);
    for number in 1..=GONE_VMS {
        let address = SocketAddr::from(([127, 9, 0, (number % 250) as u8], number));
        let data_centre = "a".to_owned();
        let gone = ListedVm { address, data_centre, entry_vm: true, state: ListedState::Live };
        client.register_vm(&gone).await.expect("the stand-in store takes writes");
    }
    let vm = GatewayProcess::start(store.address()).await;

    vm.wait_until_served().await;
    // The list of VMs has been read by then, and counts for three seconds.
    tokio::time::sleep(Duration::from_millis(300)).await;

    let mut served = 0;
    for request in 0..REQUESTS {
        let answer = exchange(vm.caller_address, &format!("alone-{request}")).await;
        served += usize::from(answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200")));
    }

    assert_eq!(served, REQUESTS);
}
