//! How long the others use a VM that was killed.

use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::{Value, json};

use crate::fleet::Fleet;

const FLEETS_AT_ONCE: usize = 10;

/// Kills one VM in each of `kills` fleets of four.
pub(crate) async fn measure(kills: usize) -> Value {
    let mut times_ms = Vec::new();
    while times_ms.len() < kills {
        let runs = (0..FLEETS_AT_ONCE.min(kills - times_ms.len())).map(|_| tokio::spawn(one()));
        for run in runs.collect::<Vec<_>>() {
            times_ms.push(run.await.expect("a run ends").as_secs_f64() * 1_000.0);
        }
    }
    times_ms.sort_by(f64::total_cmp);
    let at = |permille: usize| times_ms[(times_ms.len() - 1) * permille / 1_000];
    json!({
        "kills": times_ms.len(),
        "p50_ms": at(500),
        "p90_ms": at(900),
        "p99_ms": at(990),
        "max_ms": at(1_000),
        "under_1_s": times_ms.iter().filter(|time| **time < 1_000.0).count(),
    })
}

/// Returns the time from a kill until no other VM has the killed one in its view.
async fn one() -> Duration {
    let mut fleet = Fleet::joined(4).await;
    let settle_ms = rand::rng().random_range(1_000..2_000);
    tokio::time::sleep(Duration::from_millis(settle_ms)).await;
    let killed = fleet.vms.remove(0);
    let address = killed.address();
    drop(killed);
    let killed_at = Instant::now();
    for vm in &fleet.vms {
        let mut view = vm.view();
        // The sender lives as long as the VM.
        let _ = view.wait_for(|view| !view.members.contains_key(&address)).await;
    }
    killed_at.elapsed()
}
