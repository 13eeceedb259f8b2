//! The command `banyanbeam measure`, which runs simulations and prints their figures.

use std::process::ExitCode;

use clap::{Args, Subcommand};

use super::measure_allowance::{self, MeasureAllowanceArguments};
use super::measure_capacity::{self, MeasureCapacityArguments};
use super::measure_fleet::{self, MeasureFleetArguments};
use super::measure_membership::{self, MeasureMembershipArguments};
use super::measure_view::{self, MeasureViewArguments};

/// Arguments of `banyanbeam measure`.
#[derive(Debug, Args)]
pub struct MeasureArguments {
    /// Report to measure and print.
    #[command(subcommand)]
    matter: Report,
}

/// The reports, each a subcommand of `banyanbeam measure`.
#[derive(Debug, Subcommand)]
enum Report {
    /// Measures rate and burst over the fleet, compared with fixed shares and with one home that
    /// grants leases.
    Allowance(MeasureAllowanceArguments),
    /// Measures memory and time of each role by size, for docs/CAPACITY.md.
    Capacity(MeasureCapacityArguments),
    /// Measures detection time and false ejections, compared with round robin and fixed thresholds.
    Gray(MeasureFleetArguments),
    /// Measures the worst-served organisation, and refusals within the rate.
    Fairness(MeasureFleetArguments),
    /// Measures service while a failure domain is taken out and brought back.
    Domains(MeasureFleetArguments),
    /// Measures gray failures, fairness and domain moves in one table.
    All(MeasureFleetArguments),
    /// Measures memory and time of the configuration in force, up to the size of the whole fleet.
    View(MeasureViewArguments),
    /// Measures bytes, times and memory of membership by fleet size.
    Membership(MeasureMembershipArguments),
}

/// Runs the simulations of the chosen report and returns its exit code.
pub fn run(arguments: &MeasureArguments) -> eyre::Result<ExitCode> {
    match &arguments.matter {
        Report::Allowance(arguments) => measure_allowance::run(arguments),
        Report::Capacity(arguments) => measure_capacity::run(arguments),
        Report::Gray(arguments) => measure_fleet::run(arguments, measure_fleet::GRAY_ROWS),
        Report::Fairness(arguments) => measure_fleet::run(arguments, measure_fleet::FAIRNESS_ROWS),
        Report::Domains(arguments) => measure_fleet::run(arguments, measure_fleet::DOMAINS_ROWS),
        Report::All(arguments) => measure_fleet::run(arguments, measure_fleet::ALL_ROWS),
        Report::View(arguments) => measure_view::run(arguments),
        Report::Membership(arguments) => measure_membership::run(arguments),
    }
}
