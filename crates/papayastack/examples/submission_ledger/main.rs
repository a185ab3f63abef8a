//! Measures how many platform calls submissions take, and which outcomes callers get when a VM is
//! killed.
//!
//! Four VMs share an in-memory platform. Time is virtual and seeds are fixed, so the figures do not
//! depend on the machine. Run with `cargo run --profile test --example submission_ledger`.

mod callers;
mod policy;
mod store;

use std::time::Duration;

use callers::{RunOptions, Totals};
use policy::Policy;

/// Submissions per second, and the duration of the run at that rate.
const RATES: [(u64, Duration); 4] = [
    (1, Duration::from_secs(300)),
    (10, Duration::from_secs(120)),
    (100, Duration::from_secs(60)),
    (1_000, Duration::from_secs(30)),
];
const KILL_RATES: [u64; 2] = [100, 1_000];
const KILL_DURATION: Duration = Duration::from_secs(12);
const KILL_AT: Duration = Duration::from_secs(6);
const KILL_SEEDS: u64 = 5;

#[tokio::main(flavor = "current_thread", start_paused = true)]
async fn main() {
    println!("Platform calls of the ledger, no faults:");
    println!(
        "{:>8} {:>12} {:>10} {:>10} {:>10} {:>8} {:>8} {:>13}",
        "rate/s",
        "submissions",
        "writes/s",
        "writes/sub",
        "reads/sub",
        "p50 ms",
        "p99 ms",
        "largest bytes"
    );
    for (rate, duration) in RATES {
        let run = RunOptions { policy: Policy::Ledger, rate, duration, kill_at: None, seed: 1 };
        print_cost(rate, duration, &callers::run(run).await);
    }
    println!("\nOne VM of four killed, {KILL_SEEDS} seeds each:");
    println!(
        "{:>16} {:>8} {:>12} {:>10} {:>13} {:>14} {:>9} {:>10} {:>11}",
        "policy",
        "rate/s",
        "submissions",
        "in flight",
        "ever unknown",
        "final unknown",
        "not run",
        "run twice",
        "writes/sub"
    );
    for policy in Policy::ALL {
        for rate in KILL_RATES {
            print_kill(policy, rate).await;
        }
    }
}

fn print_cost(rate: u64, duration: Duration, totals: &Totals) {
    println!(
        "{rate:>8} {:>12} {:>10.1} {:>10.3} {:>10.3} {:>8} {:>8} {:>13}",
        totals.submissions,
        totals.writes as f64 / duration.as_secs_f64(),
        totals.writes as f64 / totals.submissions as f64,
        totals.reads as f64 / totals.submissions as f64,
        totals.latency_ms(500),
        totals.latency_ms(990),
        totals.largest_bytes,
    );
}

async fn print_kill(policy: Policy, rate: u64) {
    let mut sum = Totals::default();
    for seed in 0..KILL_SEEDS {
        let run =
            RunOptions { policy, rate, duration: KILL_DURATION, kill_at: Some(KILL_AT), seed };
        sum.add(&callers::run(run).await);
    }
    let share =
        |count: u64| format!("{count} ({:.3}%)", count as f64 * 100.0 / sum.submissions as f64);
    println!(
        "{:>16} {rate:>8} {:>12} {:>10} {:>13} {:>14} {:>9} {:>10} {:>11.3}",
        policy.name(),
        sum.submissions,
        sum.in_flight_at_kill,
        share(sum.ever_unknown),
        share(sum.final_unknown),
        sum.not_run,
        sum.run_twice,
        sum.writes as f64 / sum.submissions as f64,
    );
}
