//! Measures what the path of a query costs a VM: decisions, ownership, links.
//!
//! Prints one JSON report with the slopes and what they give at the target. Arguments: `decisions`,
//! `ownership`, `directory`, `frames` or `links`; all but `directory` where none is given.

mod decisions;
mod fit;
mod frames;
mod line;
mod links;
mod ownership;

#[path = "../membership_cost/machine.rs"]
mod machine;

use serde_json::json;

/// VMs at the target.
pub(crate) const TARGET_VMS: f64 = 8_000.0;
/// Upstreams at the target.
pub(crate) const TARGET_UPSTREAMS: f64 = 50_000.0;
/// Data centres at the target.
pub(crate) const TARGET_DATA_CENTRES: f64 = 14.0;
/// Shards of one query at the target.
pub(crate) const TARGET_SHARDS: f64 = 830.0;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let part = std::env::args().nth(1).unwrap_or_else(|| "all".to_owned());
    let all = part == "all";
    let mut report = serde_json::Map::new();
    if all || part == "links" {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        report.insert("links".to_owned(), runtime.block_on(links::measure())?);
    }
    if all || part == "decisions" {
        report.insert("decisions".to_owned(), decisions::measure());
    }
    if all || part == "ownership" {
        report.insert("ownership".to_owned(), ownership::measure());
    }
    if part == "directory" {
        report.insert("directory".to_owned(), ownership::measure_directory());
    }
    if all || part == "frames" {
        report.insert("frames".to_owned(), frames::measure()?);
    }
    if report.is_empty() {
        return Err(format!(
            "no part `{part}`; there are decisions, ownership, directory, frames, links"
        )
        .into());
    }
    report.insert("machine".to_owned(), machine::describe());
    println!("{}", serde_json::to_string_pretty(&json!(report))?);
    Ok(())
}
