//! Upstreams that name a limit, behind several processes.

use std::time::{Duration, Instant};

use crate::support::{GatewayProcess, Upstream, get, start_store};

const VMS: usize = 3;
const LIMIT_PER_S: f64 = 6.0;
/// How long after the first reply with a limit the bound must hold.
const CONTACT: Duration = Duration::from_secs(4);
/// The length of the spans in which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// The most arrivals in a span: one and a half times the limit, and five.
const ARRIVALS_MAX: usize = (LIMIT_PER_S * 4.0 * 1.5) as usize + 5;

// Guards against each VM keeping the whole limit, or none, so that the sum over all VMs exceeds it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_requests_of_all_vms_together_stay_within_the_limit_of_an_upstream() {
    let upstream = Upstream::bind_limited(Duration::from_millis(5), LIMIT_PER_S).await;
    let store = start_store(Some(&upstream)).await;
    let mut vms = Vec::new();
    for _ in 0..VMS {
        vms.push(GatewayProcess::start(store.address()).await);
    }
    for vm in &vms {
        vm.wait_until_served().await;
    }
    let started = Instant::now();
    let end = started + CONTACT + SPAN + Duration::from_secs(1);

    let call = |vm: &GatewayProcess| tokio::spawn(call_until(vm.caller_address, end));
    let callers: Vec<_> = vms.iter().map(call).collect();
    let mut served = 0;
    for caller in callers {
        served += caller.await.expect("callers do not panic");
    }

    let arrivals = upstream.arrivals();
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at > started + CONTACT).collect();
    let in_span =
        |from: Instant| counted.iter().filter(|at| (from..from + SPAN).contains(*at)).count();
    let most = counted.iter().map(|from| in_span(*from)).max().unwrap_or(0);
    assert!(most <= ARRIVALS_MAX, "{most} requests in {SPAN:?}, {ARRIVALS_MAX} are allowed");
    assert!(served > 0, "no request was served");
}

/// Sends about thirty requests a second to a VM; returns how many were served.
async fn call_until(address: std::net::SocketAddr, end: Instant) -> usize {
    let mut served = 0;
    while Instant::now() < end {
        served += usize::from(get(address).await.as_deref() == Some("200 answer"));
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    served
}
