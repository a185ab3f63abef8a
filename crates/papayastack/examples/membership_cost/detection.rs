//! The time until all other VMs have removed a killed VM from their views.

use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::{Value, json};

use crate::fleet::Fleet;

const CONCURRENT_FLEETS: usize = 10;

/// Kills one VM in each of `kill_count` fleets of four and reports the distribution of the
/// detection times.
pub(crate) async fn measure(kill_count: usize) -> Value {
    let mut times_ms = Vec::new();
    while times_ms.len() < kill_count {
        let tasks = (0..CONCURRENT_FLEETS.min(kill_count - times_ms.len()))
            .map(|_| tokio::spawn(detection_time()));
        for task in tasks.collect::<Vec<_>>() {
            times_ms
                .push(task.await.expect("the measurement does not panic").as_secs_f64() * 1_000.0);
        }
    }
    times_ms.sort_by(f64::total_cmp);
    let quantile_ms = |permille: usize| times_ms[(times_ms.len() - 1) * permille / 1_000];
    json!({
        "kills": times_ms.len(),
        "p50_ms": quantile_ms(500),
        "p90_ms": quantile_ms(900),
        "p99_ms": quantile_ms(990),
        "max_ms": quantile_ms(1_000),
        "under_1_s": times_ms.iter().filter(|time| **time < 1_000.0).count(),
    })
}

/// Kills one VM and returns the time until no other VM has it in its view.
async fn detection_time() -> Duration {
    let mut fleet = Fleet::joined(4).await;
    let settle_ms = rand::rng().random_range(1_000..2_000);
    tokio::time::sleep(Duration::from_millis(settle_ms)).await;
    let killed = fleet.vms.remove(0);
    let address = killed.address();
    drop(killed);
    let killed_at = Instant::now();
    for vm in &fleet.vms {
        let mut view = vm.view();
        // The wait cannot fail: the sender lives as long as the VM.
        let _ = view.wait_for(|view| !view.members.contains_key(&address)).await;
    }
    killed_at.elapsed()
}
