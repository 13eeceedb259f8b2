//! The commands `banyanbeam measure gray`, `fairness`, `domains` and `all`, which simulate a whole
//! fleet.

use std::process::ExitCode;

use clap::Args;

use crate::demo::DeploymentName;
use crate::measure::report::{self, Row, Scope};
use crate::measure::table;

/// Arguments of the measurements that simulate a whole fleet.
#[derive(Debug, Args)]
pub struct MeasureFleetArguments {
    /// Number of seeds to run, from 1 on.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Deployment to run; both if not given.
    #[arg(long, value_enum)]
    deployment: Option<DeploymentName>,
    /// Prints the rows as JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the given measurements and prints their rows.
pub fn run(
    arguments: &MeasureFleetArguments,
    measurements: &[fn(&Scope) -> Vec<Row>],
) -> eyre::Result<ExitCode> {
    let deployments = match arguments.deployment {
        Some(deployment) => vec![deployment],
        None => vec![DeploymentName::Nangolo, DeploymentName::Atlas],
    };
    let scope = Scope {
        deployments,
        seed_count: arguments.seeds.max(1),
    };
    let mut rows = Vec::new();
    for measurement in measurements {
        rows.extend(measurement(&scope));
    }
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print!("{}", table::render(&rows));
    }
    Ok(ExitCode::SUCCESS)
}

/// Functions that produce the rows of `measure gray`: detection time and false ejections.
pub const GRAY_ROWS: &[fn(&Scope) -> Vec<Row>] = &[report::gray];
/// Functions that produce the rows of `measure fairness`: service of each organisation and refusals
/// within the rate.
pub const FAIRNESS_ROWS: &[fn(&Scope) -> Vec<Row>] = &[report::fairness];
/// Functions that produce the rows of `measure domains`: service while a failure domain is taken
/// out and brought back.
pub const DOMAINS_ROWS: &[fn(&Scope) -> Vec<Row>] = &[report::domain_moves];
/// Functions that produce the rows of `measure all`: gray failures, fairness and failure domains.
pub const ALL_ROWS: &[fn(&Scope) -> Vec<Row>] =
    &[report::gray, report::fairness, report::domain_moves];
