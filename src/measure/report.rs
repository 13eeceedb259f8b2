//! Runs every case over all seeds and summarises it, one row for each case and policy.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;

use super::policy::Policy;
use super::runs::{self, GrayCase, GrayRun, SharedFaultCase};
use crate::demo::DeploymentName;

/// Number of threads that run seeds in parallel.
const THREAD_COUNT: usize = 4;

/// Deployments and seeds over which the cases are run.
#[derive(Debug, Clone)]
pub struct Scope {
    /// Deployments to run each case on.
    pub deployments: Vec<DeploymentName>,
    /// Number of seeds; the seeds are 1 up to this number.
    pub seed_count: u64,
}

/// One row of the table: a figure summarised over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the measure, such as detection.
    pub measure: &'static str,
    /// Name of the simulated deployment.
    pub deployment: &'static str,
    /// Case that was run, such as a kind of fault.
    pub case: String,
    /// Name of the measured policy.
    pub policy: &'static str,
    /// Description of the figure with its unit.
    pub figure: &'static str,
    /// Figure of the best seed.
    pub min: Option<f64>,
    /// Figure of the median seed.
    pub median: Option<f64>,
    /// Figure of the worst seed; none if a seed has no figure, as when the server was never
    /// ejected.
    pub worst: Option<f64>,
    /// Target of the measure as a text.
    pub target: &'static str,
    /// Number of seeds that met the target.
    pub met_count: u64,
    /// Number of seeds that were run.
    pub seed_count: u64,
    /// Further results in free text.
    pub note: String,
}

/// Returns the name of a deployment in tables.
pub fn deployment_name(deployment: DeploymentName) -> &'static str {
    match deployment {
        DeploymentName::Nangolo => "nangolo",
        DeploymentName::Atlas => "atlas",
    }
}

/// Calls `run` for each seed on several threads and returns the results in the order of seeds.
fn run_seeds<T, F>(seed_count: u64, run: F) -> Vec<T>
where
    T: Send,
    F: Fn(u64) -> T + Sync,
{
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, T)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREAD_COUNT {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index as u64 >= seed_count {
                    return;
                }
                let result = run(index as u64 + 1);
                results
                    .lock()
                    .expect("no panic while adding")
                    .push((index, result));
            });
        }
    });
    let mut results = results.into_inner().expect("no panic while adding");
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Returns minimum, median and maximum of the figures; a missing figure is sorted as the greatest.
fn min_median_worst(mut figures: Vec<Option<f64>>) -> (Option<f64>, Option<f64>, Option<f64>) {
    let sort_key = |figure: &Option<f64>| figure.unwrap_or(f64::INFINITY);
    figures.sort_by(|a, b| sort_key(a).total_cmp(&sort_key(b)));
    let median = figures.get(figures.len() / 2).copied().flatten();
    (
        figures.first().copied().flatten(),
        median,
        figures.last().copied().flatten(),
    )
}

/// Returns a time in milliseconds.
fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Labels that identify a row: measure, deployment, case and policy.
struct RowLabels {
    /// Name of the measurement.
    measure: &'static str,
    /// Deployment that was simulated.
    deployment: DeploymentName,
    /// Fault, load or event that was simulated.
    case: String,
    /// Name of the policy that the daemons followed.
    policy: &'static str,
}

/// Builds a row from the figures of all seeds.
fn row(
    name: RowLabels,
    figure: &'static str,
    figures: Vec<Option<f64>>,
    (target, met_count): (&'static str, usize),
    note: String,
) -> Row {
    let seed_count = figures.len() as u64;
    let (min, median, worst) = min_median_worst(figures);
    Row {
        measure: name.measure,
        deployment: deployment_name(name.deployment),
        case: name.case,
        policy: name.policy,
        figure,
        min,
        median,
        worst,
        target,
        met_count: met_count as u64,
        seed_count,
        note,
    }
}

/// Measures the detection time of failing servers and the false ejections.
pub fn gray(scope: &Scope) -> Vec<Row> {
    let mut rows = Vec::new();
    for deployment in &scope.deployments {
        for case in runs::gray_cases() {
            for policy in Policy::all() {
                rows.push(gray_row(*deployment, &policy, &case, scope.seed_count));
            }
        }
        for case in runs::shared_fault_cases() {
            for policy in [Policy::fixed(), Policy::standard()] {
                rows.push(healthy_row(*deployment, &policy, &case, scope.seed_count));
            }
        }
    }
    rows
}

/// Measures how soon a failing server is ejected and returns the row of the case.
fn gray_row(deployment: DeploymentName, policy: &Policy, case: &GrayCase, seeds: u64) -> Row {
    let results = run_seeds(seeds, |seed| {
        runs::gray_failure(deployment, policy, case, seed)
    });
    let figures = results
        .iter()
        .map(|run| run.detected_after.map(ms))
        .collect();
    let met_count = results.iter().filter(|run| run.detected_in_time()).count();
    let mean = |value: fn(&GrayRun) -> f64| {
        results.iter().map(value).sum::<f64>() / results.len().max(1) as f64
    };
    let false_count: u64 = results.iter().map(|run| run.false_ejection_count).sum();
    let below_floor = results.iter().map(|run| run.below_floor_count).max();
    let note = format!(
        "{:.0} requests there, {:.2}% of all bad, {false_count} others ejected, {} below floor",
        mean(|run| run.all_started_count as f64),
        100.0 * mean(|run| run.bad_share),
        below_floor.unwrap_or(0),
    );
    let name = RowLabels {
        measure: "detection",
        deployment,
        case: case.name.to_owned(),
        policy: policy.name,
    };
    let target = ("1 s or 20 requests", met_count);
    row(name, "ms until ejected", figures, target, note)
}

/// Counts ejections of healthy servers under a shared fault and returns the row of the case.
fn healthy_row(
    deployment: DeploymentName,
    policy: &Policy,
    case: &SharedFaultCase,
    seeds: u64,
) -> Row {
    let results = run_seeds(seeds, |seed| {
        runs::false_ejections(deployment, policy, case, seed)
    });
    let figures = results
        .iter()
        .map(|run| Some(run.ejected_count as f64))
        .collect();
    let met_count = results.iter().filter(|run| run.ejected_count == 0).count();
    let request_count: u64 = results.iter().map(|run| run.request_count).sum();
    let servers = results.first().map_or(0, |run| run.server_count);
    let asked = results
        .first()
        .map_or(0.0, |run| run.summary_requests_per_s);
    let bytes = results.first().map_or(0.0, |run| run.summary_bytes_per_s);
    let note = format!(
        "{request_count} requests, {servers} servers, {asked:.1} questions and {bytes:.0} bytes a second and daemon"
    );
    let name = RowLabels {
        measure: "false ejections",
        deployment,
        case: case.name.to_owned(),
        policy: policy.name,
    };
    row(name, "ejections", figures, ("0", met_count), note)
}

/// Measures the worst-served organisation and the refusals within the rate during a rate surge.
pub fn fairness(scope: &Scope) -> Vec<Row> {
    let mut rows = Vec::new();
    for deployment in &scope.deployments {
        for large in [true, false] {
            for policy in [Policy::round_robin(), Policy::standard()] {
                rows.extend(surge_rows(*deployment, &policy, large, scope.seed_count));
            }
        }
    }
    rows
}

/// Measures a surge of one organisation: a row of missed requests and one of refused requests.
fn surge_rows(deployment: DeploymentName, policy: &Policy, large: bool, seeds: u64) -> [Row; 2] {
    let results = run_seeds(seeds, |seed| {
        runs::rate_surge(deployment, policy, large, seed)
    });
    let size = if large { "large" } else { "small" };
    let name = |measure| RowLabels {
        measure,
        deployment,
        case: format!("{size} organisation at 5 times its rate"),
        policy: policy.name,
    };
    let missed = results
        .iter()
        .map(|run| Some(100.0 * (1.0 - run.worst_share)));
    let met = results.iter().filter(|run| run.worst_share >= 0.99).count();
    let refused = results.iter().map(|run| Some(100.0 * run.refused_share));
    let met_refused = results.iter().filter(|run| run.refused_share <= 0.001);
    let met_refused = met_refused.count();
    [
        row(
            name("worst-served organisation"),
            "% within rate not answered in time",
            missed.collect(),
            ("1% at most", met),
            String::new(),
        ),
        row(
            name("refused within rate"),
            "% refused",
            refused.collect(),
            ("0.1% at most", met_refused),
            String::new(),
        ),
    ]
}

/// Measures failed requests and latency while a failure domain leaves and returns.
pub fn domain_moves(scope: &Scope) -> Vec<Row> {
    let mut rows = Vec::new();
    for deployment in &scope.deployments {
        for policy in [Policy::round_robin(), Policy::standard()] {
            rows.extend(domain_move_rows(*deployment, &policy, scope.seed_count));
        }
    }
    rows
}

/// Measures a domain out of service and back: a row of bad answers and one of the p99 latency.
fn domain_move_rows(deployment: DeploymentName, policy: &Policy, seeds: u64) -> [Row; 2] {
    let results = run_seeds(seeds, |seed| runs::domain_move(deployment, policy, seed));
    let name = |case: &str| RowLabels {
        measure: "domain moves",
        deployment,
        case: case.to_owned(),
        policy: policy.name,
    };
    let request_count: u64 = results.iter().map(|run| run.request_count).sum();
    let bad = results.iter().map(|run| Some(run.bad_count as f64));
    let met_bad = results.iter().filter(|run| run.bad_count == 0).count();
    let ratio = |run: &runs::DomainMoveRun| {
        ms(run.p99_while_out.max(run.p99_after_return)) / ms(run.p99_before)
    };
    let ratios = results.iter().map(|run| Some(ratio(run)));
    let met_ratio = results.iter().filter(|run| ratio(run) <= 1.5).count();
    let middle = results.get(results.len() / 2).copied().unwrap_or_default();
    let note = format!(
        "seed {}: {:.0} ms before, {:.0} ms away, {:.0} ms back",
        results.len() / 2 + 1,
        ms(middle.p99_before),
        ms(middle.p99_while_out),
        ms(middle.p99_after_return)
    );
    [
        row(
            name("requests not answered well"),
            "requests",
            bad.collect(),
            ("0", met_bad),
            format!("of {request_count}"),
        ),
        row(
            name("p99, away or back against before"),
            "ratio",
            ratios.collect(),
            ("1.5 at most", met_ratio),
            note,
        ),
    ]
}
