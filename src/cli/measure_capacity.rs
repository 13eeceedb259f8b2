//! The command `banyanbeam measure capacity`.

use std::process::ExitCode;

use clap::Args;

use super::measure_view::{measure_divisors, SIZE_DIVISORS};
use crate::allowance::measure::slopes;
use crate::membership::measure::{state_table, MeasureSettings};
use crate::routing;

/// Arguments of `banyanbeam measure capacity`.
#[derive(Debug, Args)]
pub struct MeasureCapacityArguments {
    /// Fleet sizes to measure, in daemons.
    #[arg(long, value_delimiter = ',', default_values_t = [494, 1_975, 7_900])]
    daemons: Vec<usize>,
    /// Seed of the random draws and of the order of lookups.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Numbers of organisations for which the allowance is measured.
const ORGANISATION_COUNTS: [usize; 3] = [35_625, 142_500, 570_000];
/// Backend servers on the VM of each daemon.
const SERVERS_PER_DAEMON_COUNT: usize = 14;

/// Prints the memory and time of each role's state by size, the largest size last.
pub fn run(arguments: &MeasureCapacityArguments) -> eyre::Result<ExitCode> {
    println!("choice of server, seed {}", arguments.seed);
    println!(
        "{}",
        routing::measure::table(&arguments.daemons, arguments.seed)
    );
    println!("membership, {SERVERS_PER_DAEMON_COUNT} servers on the VM of each daemon");
    let settings = MeasureSettings {
        daemon_counts: arguments.daemons.clone(),
        servers_count: SERVERS_PER_DAEMON_COUNT,
        changes_per_s: 0.0,
        seed: arguments.seed,
    };
    println!("{}", state_table(&settings));
    println!("allowance, a daemon that holds every partition");
    println!("{}", slopes::table(&ORGANISATION_COUNTS));
    println!("{}", slopes::escrow_estimate());
    println!("configuration in force");
    println!("{}", measure_divisors(&SIZE_DIVISORS, arguments.seed));
    Ok(ExitCode::SUCCESS)
}
