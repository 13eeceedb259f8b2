//! `banyanbeam measure capacity`.

use std::process::ExitCode;

use clap::Args;

use super::measure_view::{measure_divisors, DIVISORS};
use crate::allowance::measure::slopes;
use crate::membership::measure::{state_table, MeasureSettings};
use crate::routing;

/// Arguments of `measure capacity`.
#[derive(Debug, Args)]
pub struct MeasureCapacityArguments {
    /// Numbers of daemons.
    #[arg(long, value_delimiter = ',', default_values_t = [494, 1_975, 7_900])]
    daemons: Vec<usize>,
    /// Seed of draws and of the order of lookups.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

const ORGANISATION_COUNTS: [usize; 3] = [35_625, 142_500, 570_000];
const SERVERS_EACH_COUNT: usize = 14;

/// Prints the slopes of each role's state, the largest size last.
pub fn run(arguments: &MeasureCapacityArguments) -> eyre::Result<ExitCode> {
    println!("choice of server, seed {}", arguments.seed);
    println!(
        "{}",
        routing::measure::table(&arguments.daemons, arguments.seed)
    );
    println!("membership, {SERVERS_EACH_COUNT} servers beside each daemon");
    let settings = MeasureSettings {
        daemon_counts: arguments.daemons.clone(),
        servers_count: SERVERS_EACH_COUNT,
        changes_per_s: 0.0,
        seed: arguments.seed,
    };
    println!("{}", state_table(&settings));
    println!("allowance, a daemon that holds every seat");
    println!("{}", slopes::table(&ORGANISATION_COUNTS));
    println!("{}", slopes::escrow_estimate());
    println!("configuration in force");
    println!("{}", measure_divisors(&DIVISORS, arguments.seed));
    Ok(ExitCode::SUCCESS)
}
