//! Measures the cost of membership per VM, and the speed and accuracy of failure detection.
//!
//! Steady cost and detection run `Membership` over loopback. Simultaneous failures, a network
//! partition and packet loss run the same protocol, encoding and seals in virtual time. Prints one
//! JSON report.
//!
//! Arguments: `--sizes 4,16,64,256,1024`, `--seconds 20`, `--kills 200`, `--virtual 560`; or
//! `--exchanges` alone, which compares a probe as datagrams and over a link, and measures how
//! fast configuration versions propagate.

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

/// The number of members of one region at the target size.
const TARGET_MEMBERS_PER_REGION: f64 = 8_000.0 / 6.0;
/// The number of members of all regions at the target size.
const TARGET_MEMBERS: f64 = 8_000.0;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--exchanges") {
        let versions = [4, 16, 64, 256].map(virtual_time::version_propagation);
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

    // The fleets run first: memory freed by another measurement would hide what they take.
    let memory_before = machine::resident_bytes();
    let mut steady = Vec::new();
    for size in sizes {
        steady.push(runtime.block_on(steady::measure(size, seconds, memory_before)));
    }
    let detection = runtime.block_on(detection::measure(kills));
    let packet_loss = virtual_time::packet_loss();
    let data_centre_failure = virtual_time::data_centre_failure(virtual_members);
    let region_partition = virtual_time::region_partition(virtual_members);

    let slopes = json!({
        "sent_bytes_per_second": fit::report(&steady, |it| it.sent_bytes_per_second),
        "sent_datagrams_per_second": fit::report(&steady, |it| it.sent_datagrams_per_second),
        "core_percent": fit::report(&steady, |it| it.core_percent),
        "memory_bytes": fit::report(&steady, |it| it.memory_bytes),
    });
    let report = json!({
        "machine": machine::describe(),
        "settings": papayastack::MembershipSettings::default(),
        "steady": steady.iter().map(steady::SteadyCost::report).collect::<Vec<_>>(),
        "slopes": slopes,
        "detection_of_a_killed_vm_among_4": detection,
        "losses": packet_loss,
        "burst": data_centre_failure,
        "region_cut": region_partition,
    });
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
