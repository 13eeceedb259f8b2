//! `banyanbeam measure`.

use std::process::ExitCode;

use clap::{Args, Subcommand};

use super::measure_allowance::{self, MeasureAllowanceArguments};

/// Arguments of `measure`.
#[derive(Debug, Args)]
pub struct MeasureArguments {
    #[command(subcommand)]
    matter: Matter,
}

#[derive(Debug, Subcommand)]
enum Matter {
    /// Rate and burst over the fleet, beside fixed shares and one home with a lease.
    Allowance(MeasureAllowanceArguments),
}

/// Runs the measurement.
pub fn run(arguments: &MeasureArguments) -> eyre::Result<ExitCode> {
    match &arguments.matter {
        Matter::Allowance(arguments) => measure_allowance::run(arguments),
    }
}
