//! The report, in JSON and as a Markdown table.

use std::collections::BTreeMap;
use std::fmt::Write;

use papayastack::{RoutingPolicy, ServiceName};
use papayastack_standin::PlatformCounts;
use serde::Serialize;

use crate::experiment::{Case, Experiment, LoadClass};
use crate::run::RunResult;
use crate::stream_stats::StreamStats;

const CURVE_QUANTILES: [f64; 12] =
    [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999, 0.9999];

/// The report of an experiment.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) experiment: Experiment,
    pub(crate) runs: Vec<RunReport>,
}

/// The report of one case under one policy.
#[derive(Debug, Serialize)]
pub(crate) struct RunReport {
    pub(crate) case: String,
    pub(crate) policy: RoutingPolicy,
    /// The number of searches that upstreams received, divided by the number of sub-requests that
    /// the answered queries needed; `None` if the upstreams run in other processes or no query was
    /// answered.
    pub(crate) extra_load: Option<f64>,
    pub(crate) streams: Vec<StreamReport>,
    /// CPU time of each VM divided by the measured time, in cores.
    pub(crate) vm_cores: Vec<f64>,
    /// The resident memory of the whole process, including stand-ins and load generator, in bytes.
    pub(crate) resident_bytes: u64,
    pub(crate) upstreams: Option<UpstreamReport>,
    /// Updates of platform objects per submission; `None` if no submission was answered or the VMs
    /// run in other processes.
    pub(crate) updates_per_submission: Option<f64>,
    /// Calls to the platform during the measured time, by kind.
    pub(crate) platform_calls: BTreeMap<&'static str, u64>,
    pub(crate) fault_errors: Vec<String>,
}

/// Counters of the upstreams over the measured time.
#[derive(Debug, Serialize)]
pub(crate) struct UpstreamReport {
    pub(crate) searches_received: u64,
    pub(crate) searches_executed: u64,
    pub(crate) shed: u64,
    pub(crate) cancelled: u64,
    pub(crate) expired: u64,
    pub(crate) connections_refused: u64,
    /// The highest number of connections that one upstream had open at once since its start.
    pub(crate) connections_peak: u64,
    /// The highest number of slots that one upstream had busy at once since its start.
    pub(crate) slots_busy_peak: u32,
}

/// The report of one load stream.
#[derive(Debug, Serialize)]
pub(crate) struct StreamReport {
    pub(crate) service: ServiceName,
    pub(crate) class: LoadClass,
    pub(crate) offered_per_s: f64,
    pub(crate) arrived: u64,
    pub(crate) complete: u64,
    pub(crate) partial: u64,
    pub(crate) refused: BTreeMap<String, u64>,
    pub(crate) failed: u64,
    pub(crate) dropped: u64,
    pub(crate) late: u64,
    pub(crate) checked: u64,
    pub(crate) wrong: BTreeMap<&'static str, u64>,
    /// Shards missing from answers, by reason.
    pub(crate) missing: BTreeMap<String, u64>,
    /// The share of shards that answered, over the coverages of all answers, from 0 to 1.
    pub(crate) shards_covered: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    pub(crate) max_ms: f64,
    /// Pairs of quantile and latency in milliseconds, for plots.
    pub(crate) curve: Vec<(f64, f64)>,
}

impl Report {
    /// Creates a report without runs.
    pub(crate) fn new(experiment: &Experiment) -> Self {
        Self { experiment: experiment.clone(), runs: Vec::new() }
    }

    /// Adds the result of a run.
    pub(crate) fn add(&mut self, case: &Case, result: &RunResult) {
        let duration_s = self.experiment.duration_s as f64;
        let streams = case.load.iter().zip(&result.stream_stats).map(|(load, stats)| {
            StreamReport::new(load.service.clone(), load.class, stats, duration_s)
        });
        self.runs.push(RunReport {
            case: case.name.clone(),
            policy: result.policy,
            extra_load: extra_load(result),
            streams: streams.collect(),
            vm_cores: vm_cores(result, duration_s),
            resident_bytes: result.resident_bytes,
            upstreams: upstream_report(result),
            updates_per_submission: updates_per_submission(case, result),
            platform_calls: platform_calls(result),
            fault_errors: result.fault_errors.clone(),
        });
    }

    /// Returns the number of wrong answers and submission outcomes in all runs.
    pub(crate) fn wrong_answers(&self) -> u64 {
        let streams = self.runs.iter().flat_map(|run| &run.streams);
        streams.flat_map(|stream| stream.wrong.values()).sum()
    }

    /// Returns the report as Markdown.
    pub(crate) fn markdown(&self) -> String {
        let experiment = &self.experiment;
        let mut text = format!(
            "# {}\n\nSeed {}, {} s measured after {} s of warm-up; {} in 1000 answers compared with \
             the naive search.\n\n",
            experiment.name,
            experiment.seed,
            experiment.duration_s,
            experiment.warmup_s,
            experiment.checked_permille,
        );
        text.push_str(
            "| case | policy | service, class | offered/s | p50 ms | p99 ms | p99.9 ms | complete | \
             partial | shards covered | refused | failed | late | extra load | wrong/checked | cores \
             per VM |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for run in &self.runs {
            for stream in &run.streams {
                // Writing to a string cannot fail.
                let _ = writeln!(text, "{}", markdown_row(run, stream));
            }
        }
        text.push('\n');
        for run in &self.runs {
            if let Some(updates) = run.updates_per_submission {
                let _ = writeln!(
                    text,
                    "- {}, {:?}: {updates:.3} platform updates per submission",
                    run.case, run.policy
                );
            }
            for error in &run.fault_errors {
                let _ = writeln!(text, "- {}, {:?}: fault failed {error}", run.case, run.policy);
            }
        }
        text
    }
}

impl StreamReport {
    fn new(service: ServiceName, class: LoadClass, stats: &StreamStats, duration_s: f64) -> Self {
        let at = |quantile: f64| stats.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            service,
            class,
            offered_per_s: stats.arrived as f64 / duration_s,
            arrived: stats.arrived,
            complete: stats.complete,
            partial: stats.partial,
            refused: stats.refused.clone(),
            failed: stats.failed,
            dropped: stats.dropped,
            late: stats.late,
            checked: stats.checked,
            wrong: stats.wrong.clone(),
            missing: stats.missing.clone(),
            shards_covered: stats.shards_answered as f64 / stats.shards_total.max(1) as f64,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: at(1.0),
            curve: CURVE_QUANTILES.iter().map(|quantile| (*quantile, at(*quantile))).collect(),
        }
    }
}

fn markdown_row(run: &RunReport, stream: &StreamReport) -> String {
    let refused: u64 = stream.refused.values().sum();
    let wrong: u64 = stream.wrong.values().sum();
    let shards_covered = match stream.class {
        LoadClass::Submission => "-".to_owned(),
        _ => format!("{:.3}%", 100.0 * stream.shards_covered),
    };
    let mean_cores = run.vm_cores.iter().sum::<f64>() / run.vm_cores.len().max(1) as f64;
    format!(
        "| {} | {} | {}, {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2}% | {} | {} | {} | {} | {} | \
         {} | {}/{} | {:.2} |",
        run.case,
        format!("{:?}", run.policy).to_lowercase(),
        stream.service,
        stream.class.name(),
        stream.offered_per_s,
        stream.p50_ms,
        stream.p99_ms,
        stream.p999_ms,
        100.0 * stream.complete as f64 / stream.arrived.max(1) as f64,
        stream.partial,
        shards_covered,
        refused,
        stream.failed + stream.dropped,
        stream.late,
        run.extra_load.map_or("-".to_owned(), |ratio| format!("{ratio:.3}")),
        wrong,
        stream.checked,
        mean_cores,
    )
}

fn extra_load(result: &RunResult) -> Option<f64> {
    let searches_received = result.searches_received?;
    (result.sub_requests_needed > 0)
        .then(|| searches_received as f64 / result.sub_requests_needed as f64)
}

fn vm_cores(result: &RunResult, duration_s: f64) -> Vec<f64> {
    let Some((begin, end)) = &result.counts else {
        return Vec::new();
    };
    let pairs = begin.vm_cpu_time.iter().zip(&end.vm_cpu_time);
    pairs.map(|(before, after)| after.saturating_sub(*before).as_secs_f64() / duration_s).collect()
}

fn upstream_report(result: &RunResult) -> Option<UpstreamReport> {
    let (begin, end) = result.counts.as_ref()?;
    let sum = |count: fn(&papayastack_standin::UpstreamCounts) -> u64| {
        let total = |counts: &[_]| counts.iter().map(count).sum::<u64>();
        total(&end.upstreams) - total(&begin.upstreams)
    };
    Some(UpstreamReport {
        searches_received: sum(|counts| counts.searches_received),
        searches_executed: sum(|counts| counts.searches_executed),
        shed: sum(|counts| counts.shed),
        cancelled: sum(|counts| counts.cancelled),
        expired: sum(|counts| counts.expired),
        connections_refused: sum(|counts| counts.connections_refused),
        connections_peak: end.upstreams.iter().map(|c| c.connections_peak).max().unwrap_or(0),
        slots_busy_peak: end.upstreams.iter().map(|c| c.slots_busy_peak).max().unwrap_or(0),
    })
}

fn updates_per_submission(case: &Case, result: &RunResult) -> Option<f64> {
    let (begin, end) = result.counts.as_ref()?;
    let streams = case.load.iter().zip(&result.stream_stats);
    let submissions: u64 = streams
        .filter(|(load, _)| load.class == LoadClass::Submission)
        .map(|(_, stats)| stats.answers())
        .sum();
    let updates = end.platform.updates.saturating_sub(begin.platform.updates);
    (submissions > 0).then(|| updates as f64 / submissions as f64)
}

fn platform_calls(result: &RunResult) -> BTreeMap<&'static str, u64> {
    let Some((begin, end)) = &result.counts else {
        return BTreeMap::new();
    };
    let difference = |count: fn(&PlatformCounts) -> u64| {
        count(&end.platform).saturating_sub(count(&begin.platform))
    };
    BTreeMap::from([
        ("reads", difference(|counts| counts.reads)),
        ("watches", difference(|counts| counts.watches)),
        ("updates", difference(|counts| counts.updates)),
        ("deletes", difference(|counts| counts.deletes)),
        ("lists", difference(|counts| counts.lists)),
        ("vm_lists", difference(|counts| counts.vm_lists)),
    ])
}
