//! Measures the cost of the query path on a VM: routing decisions, ownership, frames and links.
//!
//! Prints one JSON report with the fitted lines and their values at the target size. The argument
//! is one of `decisions`, `ownership`, `directory`, `frames` and `links`; without it, all but
//! `directory` run.

mod decisions;
mod fit;
mod frames;
mod least_squares;
mod links;
mod ownership;

#[path = "../membership_cost/machine.rs"]
mod machine;

use serde_json::json;

/// The number of VMs at the target size.
pub(crate) const TARGET_VMS: f64 = 8_000.0;
/// The number of upstreams at the target size.
pub(crate) const TARGET_UPSTREAMS: f64 = 50_000.0;
/// The number of data centres at the target size.
pub(crate) const TARGET_DATA_CENTRES: f64 = 14.0;
/// The number of shards of one query at the target size.
pub(crate) const TARGET_SHARDS: f64 = 830.0;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let name = std::env::args().nth(1).unwrap_or_else(|| "all".to_owned());
    let all = name == "all";
    let mut report = serde_json::Map::new();
    if all || name == "links" {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        report.insert("links".to_owned(), runtime.block_on(links::measure())?);
    }
    if all || name == "decisions" {
        report.insert("decisions".to_owned(), decisions::measure());
    }
    if all || name == "ownership" {
        report.insert("ownership".to_owned(), ownership::measure());
    }
    if name == "directory" {
        report.insert("directory".to_owned(), ownership::measure_directory());
    }
    if all || name == "frames" {
        report.insert("frames".to_owned(), frames::measure()?);
    }
    if report.is_empty() {
        return Err(format!(
            "unknown measurement `{name}`; use decisions, ownership, directory, frames or links"
        )
        .into());
    }
    report.insert("machine".to_owned(), machine::describe());
    println!("{}", serde_json::to_string_pretty(&json!(report))?);
    Ok(())
}
