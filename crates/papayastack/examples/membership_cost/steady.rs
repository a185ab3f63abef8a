//! The cost of membership per VM while no member joins, leaves or fails.

use std::time::{Duration, Instant};

use papayastack::MembershipCounts;
use serde_json::{Value, json};

use crate::fleet::Fleet;
use crate::machine::{processor_seconds, resident_bytes};

/// The minimum number of VMs measured at once; if one fleet has fewer, several fleets run at once.
const MEASURED_VMS_MIN: usize = 64;
/// The wait after joining, by the end of which anti-entropy comparisons have become rare.
const SETTLE_TIME: Duration = Duration::from_secs(25);

/// The cost of one VM in a fleet of `members`.
pub(crate) struct SteadyCost {
    pub(crate) members: usize,
    pub(crate) fleets: usize,
    pub(crate) seconds: f64,
    pub(crate) joined_seconds: f64,
    pub(crate) sent_bytes_per_second: f64,
    pub(crate) received_bytes_per_second: f64,
    pub(crate) sent_datagrams_per_second: f64,
    pub(crate) core_percent: f64,
    pub(crate) memory_bytes: f64,
    pub(crate) suspicions: u64,
    pub(crate) stalls: u64,
}

impl SteadyCost {
    /// Returns the measurement as an entry of the report.
    pub(crate) fn report(&self) -> Value {
        json!({
            "members": self.members,
            "fleets_at_once": self.fleets,
            "measured_seconds": self.seconds,
            "joined_after_seconds": self.joined_seconds,
            "per_vm": {
                "sent_bytes_per_second": self.sent_bytes_per_second,
                "received_bytes_per_second": self.received_bytes_per_second,
                "sent_datagrams_per_second": self.sent_datagrams_per_second,
                "core_percent": self.core_percent,
                "memory_bytes": self.memory_bytes,
            },
            "suspicions_in_all": self.suspicions,
            "stalls_in_all": self.stalls,
        })
    }
}

/// Measures fleets of `size` VMs each for `seconds`, at least [`MEASURED_VMS_MIN`] VMs in all.
///
/// `memory_before` is the resident memory of the process before its first fleet, since a fleet
/// reuses the memory that earlier, smaller fleets freed.
pub(crate) async fn measure(size: usize, seconds: u64, memory_before: f64) -> SteadyCost {
    let started = Instant::now();
    let mut fleets = Vec::new();
    for _ in 0..MEASURED_VMS_MIN.div_ceil(size) {
        fleets.push(Fleet::joined(size).await);
    }
    let joined_seconds = started.elapsed().as_secs_f64() / fleets.len() as f64;
    tokio::time::sleep(SETTLE_TIME).await;
    let (counts_before, processor_before) = (counts(&fleets), processor_seconds());
    let measuring_since = Instant::now();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let (counts_after, processor_after) = (counts(&fleets), processor_seconds());
    let elapsed = measuring_since.elapsed().as_secs_f64();
    let vms = (size * fleets.len()) as f64;
    let rate = |count: fn(&MembershipCounts) -> u64| {
        (count(&counts_after) - count(&counts_before)) as f64 / elapsed / vms
    };
    SteadyCost {
        members: size,
        fleets: fleets.len(),
        seconds: elapsed,
        joined_seconds,
        sent_bytes_per_second: rate(|it| it.sent_bytes),
        received_bytes_per_second: rate(|it| it.received_bytes),
        sent_datagrams_per_second: rate(|it| it.sent),
        core_percent: (processor_after - processor_before) * 100.0 / elapsed / vms,
        memory_bytes: (resident_bytes() - memory_before).max(0.0) / vms,
        suspicions: counts_after.suspicions - counts_before.suspicions,
        stalls: counts_after.stalls - counts_before.stalls,
    }
}

fn counts(fleets: &[Fleet]) -> MembershipCounts {
    let mut sum = MembershipCounts::default();
    for vm in fleets.iter().flat_map(|fleet| &fleet.vms) {
        let counts = vm.counts();
        sum.sent += counts.sent;
        sum.sent_bytes += counts.sent_bytes;
        sum.received_bytes += counts.received_bytes;
        sum.suspicions += counts.suspicions;
        sum.stalls += counts.stalls;
    }
    sum
}
