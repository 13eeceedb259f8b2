//! Whole deployment in one process: the platform's log, daemons with stand-in backend servers in
//! three failure domains, contracts, keys and a load of mixed requests.

pub mod deployment;
pub mod fleet;

use std::time::Duration;

use clap::ValueEnum;

use crate::load::{duty, LoadPlan, LoadReport};
use deployment::Deployment;
use fleet::DemoFleet;

/// Name of one of the two deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum DeploymentName {
    /// Nangolo & Daughters Frame Adjusters, Windhoek.
    Nangolo,
    /// Atlas Table Labs, Casablanca.
    Atlas,
}

/// Deployment and load of a demonstration.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Deployment that the demonstration starts.
    pub deployment: DeploymentName,
    /// Number of requests to send.
    pub request_count: u64,
    /// Seed of the mix of requests.
    pub seed: u64,
}

/// A demonstration that has sent its load and whose fleet still runs.
pub struct DemoRun {
    /// Fleet that is still running.
    pub fleet: DemoFleet,
    /// Results of the load.
    pub report: LoadReport,
}

/// Starts a fleet, sends the load and compares the answers with what the servers ran.
pub fn run(options: &DemoOptions) -> eyre::Result<DemoRun> {
    let deployment = Deployment::named(options.deployment);
    let fleet = DemoFleet::start(&deployment)?;
    fleet.publish(&deployment)?;
    fleet.wait_until_ready(&deployment)?;
    let plan = LoadPlan {
        fronts: fleet.fronts(),
        direct: false,
        mix: deployment.mix(),
        request_count: options.request_count,
        rate_per_s: Some(RATE_PER_S),
        worker_count: WORKER_COUNT,
        deadline: DEADLINE,
        seed: options.seed,
    };
    let mut report = duty::run(&plan);
    report.compare_with_runs(&fleet.run_counts()?);
    Ok(DemoRun { fleet, report })
}

/// Requests per second of the load, within every organisation's contract as the mix is even.
const RATE_PER_S: f64 = 500.0;
/// Number of workers that send the load, each with one request at a time.
const WORKER_COUNT: usize = 32;
/// Time within which each request of the load must be answered.
const DEADLINE: Duration = Duration::from_secs(5);
