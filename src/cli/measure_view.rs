//! `banyanbeam measure view`.

use std::process::ExitCode;

use clap::Args;
use comfy_table::Table;

use crate::contract::measure::{measure, table, ViewSize};

/// Arguments of `measure view`.
#[derive(Debug, Args)]
pub struct MeasureViewArguments {
    /// Seed of the order of lookups.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measures only this share of the full size, as its divisor: 1 is the full size.
    #[arg(long)]
    divisor: Option<usize>,
}

const FULL: ViewSize = ViewSize {
    organisation_count: 570_000,
    service_count: 3_600,
    route_count: 94_000,
};
/// Shares of the full size that are measured, the largest last.
pub const DIVISORS: [usize; 4] = [64, 16, 4, 1];

/// Prints what a view costs at growing sizes.
pub fn run(arguments: &MeasureViewArguments) -> eyre::Result<ExitCode> {
    let divisors = match arguments.divisor {
        Some(divisor) => vec![divisor.max(1)],
        None => DIVISORS.to_vec(),
    };
    println!("seed {}", arguments.seed);
    println!("{}", measure_divisors(&divisors, arguments.seed));
    Ok(ExitCode::SUCCESS)
}

/// Measures these shares of the full size.
pub fn measure_divisors(divisors: &[usize], seed: u64) -> Table {
    let mut costs = Vec::with_capacity(divisors.len());
    for divisor in divisors {
        let size = ViewSize {
            organisation_count: (FULL.organisation_count / divisor).max(1),
            service_count: (FULL.service_count / divisor).max(1),
            route_count: (FULL.route_count / divisor).max(1),
        };
        costs.push(measure(size, seed));
    }
    table(&costs)
}
