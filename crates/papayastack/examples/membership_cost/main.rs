//! Measures what membership costs a VM, and how fast and how surely it judges.
//!
//! Steady cost and detection run through `Membership` on loopback; bursts, cuts and losses run
//! through the same machine, encoding and seals in virtual time. Prints one JSON report.
//!
//! Arguments: `--sizes 4,16,64,256,1024`, `--seconds 20`, `--kills 200`, `--virtual 560`; or
//! `--exchanges` alone, which compares a probe as datagrams and over a link, and spreads versions.

mod detection;
mod fit;
mod fleet;
#[path = "../path_cost/least_squares.rs"]
mod least_squares;
mod machine;
mod steady;
mod transports;
mod virtual_time;

use pico_args::Arguments;
use serde_json::json;

/// The members of one region at the target.
const TARGET_MEMBERS_PER_REGION: f64 = 8_000.0 / 6.0;
/// The members of all regions at the target.
const TARGET_MEMBERS: f64 = 8_000.0;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--exchanges") {
        let versions = [4, 16, 64, 256].map(virtual_time::versions);
        let report = json!({
            "machine": machine::describe(),
            "transports": transports::measure(),
            "versions_in_force": versions,
        });
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    let sizes: String = arguments.opt_value_from_str("--sizes")?.unwrap_or("4,16,64,256".into());
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(20);
    let kills: usize = arguments.opt_value_from_str("--kills")?.unwrap_or(200);
    let virtual_members: usize = arguments.opt_value_from_str("--virtual")?.unwrap_or(560);
    let sizes: Vec<usize> = sizes.split(',').map(str::parse).collect::<Result<_, _>>()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;

    // First, since memory that was used before would hide what fleets take.
    let memory_before = machine::resident_bytes();
    let mut steady = Vec::new();
    for size in sizes {
        steady.push(runtime.block_on(steady::measure(size, seconds, memory_before)));
    }
    let detection = runtime.block_on(detection::measure(kills));
    let losses = virtual_time::losses();
    let burst = virtual_time::burst(virtual_members);
    let cut = virtual_time::region_cut(virtual_members);

    let slopes = json!({
        "sent_bytes_per_second": fit::report(&steady, |it| it.sent_bytes_per_second),
        "sent_datagrams_per_second": fit::report(&steady, |it| it.sent_datagrams_per_second),
        "core_percent": fit::report(&steady, |it| it.core_percent),
        "memory_bytes": fit::report(&steady, |it| it.memory_bytes),
    });
    let report = json!({
        "machine": machine::describe(),
        "settings": papayastack::MembershipSettings::default(),
        "steady": steady.iter().map(steady::Steady::report).collect::<Vec<_>>(),
        "slopes": slopes,
        "detection_of_a_killed_vm_among_4": detection,
        "losses": losses,
        "burst": burst,
        "region_cut": cut,
    });
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
