//! The command `banyanbeam measure view`.

use std::process::ExitCode;

use clap::Args;
use comfy_table::Table;

use crate::contract::measure::{measure, table, ViewSize};

/// Arguments of `banyanbeam measure view`.
#[derive(Debug, Args)]
pub struct MeasureViewArguments {
    /// Seed of the order of lookups.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measures only the full size divided by this number; 1 is the full size.
    #[arg(long)]
    divisor: Option<usize>,
}

/// Size of the whole fleet's configuration.
const FULL_SIZE: ViewSize = ViewSize {
    organisation_count: 570_000,
    service_count: 3_600,
    route_count: 94_000,
};
/// Divisors of the full size that are measured, the full size last.
pub const SIZE_DIVISORS: [usize; 4] = [64, 16, 4, 1];

/// Prints the memory and time of a view at growing sizes.
pub fn run(arguments: &MeasureViewArguments) -> eyre::Result<ExitCode> {
    let divisors = match arguments.divisor {
        Some(divisor) => vec![divisor.max(1)],
        None => SIZE_DIVISORS.to_vec(),
    };
    println!("seed {}", arguments.seed);
    println!("{}", measure_divisors(&divisors, arguments.seed));
    Ok(ExitCode::SUCCESS)
}

/// Measures the full size divided by each divisor and returns one table.
pub fn measure_divisors(divisors: &[usize], seed: u64) -> Table {
    let mut costs = Vec::with_capacity(divisors.len());
    for divisor in divisors {
        let size = ViewSize {
            organisation_count: (FULL_SIZE.organisation_count / divisor).max(1),
            service_count: (FULL_SIZE.service_count / divisor).max(1),
            route_count: (FULL_SIZE.route_count / divisor).max(1),
        };
        costs.push(measure(size, seed));
    }
    table(&costs)
}
