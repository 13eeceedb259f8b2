//! The command `banyanbeam measure membership`.

use std::process::ExitCode;

use clap::Args;

use crate::membership::measure::{fleet_table, state_table, MeasureSettings};

/// Arguments of `banyanbeam measure membership`.
#[derive(Debug, Args)]
pub struct MeasureMembershipArguments {
    /// Fleet sizes to measure, in daemons.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 32, 128, 512])]
    daemons: Vec<usize>,
    /// Backend servers on the VM of each daemon.
    #[arg(long, default_value_t = 14)]
    servers_count: usize,
    /// Changes per second in the whole fleet.
    #[arg(long, default_value_t = 0.8)]
    changes_per_s: f64,
    /// Seed of the simulation.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measures the state of one daemon instead of whole fleets.
    #[arg(long)]
    state: bool,
}

/// Prints the settings of the run and the table of figures.
pub fn run(arguments: &MeasureMembershipArguments) -> eyre::Result<ExitCode> {
    let settings = MeasureSettings {
        daemon_counts: arguments.daemons.clone(),
        servers_count: arguments.servers_count,
        changes_per_s: arguments.changes_per_s,
        seed: arguments.seed,
    };
    println!(
        "{} servers on the VM of each daemon, {} changes per second, seed {}",
        settings.servers_count, settings.changes_per_s, settings.seed
    );
    match arguments.state {
        true => println!("{}", state_table(&settings)),
        false => println!("{}", fleet_table(&settings)),
    }
    Ok(ExitCode::SUCCESS)
}
