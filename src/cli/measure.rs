//! `banyanbeam measure`.

use std::process::ExitCode;

use clap::{Args, Subcommand};

use super::measure_allowance::{self, MeasureAllowanceArguments};
use super::measure_capacity::{self, MeasureCapacityArguments};
use super::measure_fleet::{self, MeasureFleetArguments};
use super::measure_membership::{self, MeasureMembershipArguments};
use super::measure_view::{self, MeasureViewArguments};

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
    /// Memory and time of each role by size, for docs/CAPACITY.md.
    Capacity(MeasureCapacityArguments),
    /// Detection time and false ejections, beside round robin and fixed thresholds.
    Gray(MeasureFleetArguments),
    /// The worst-served organisation and refusals within the rate.
    Fairness(MeasureFleetArguments),
    /// Service while a failure domain leaves and returns.
    Domains(MeasureFleetArguments),
    /// Gray failures, fairness and domain moves in one table.
    All(MeasureFleetArguments),
    /// Memory and time of the configuration in force, up to the size of the whole fleet.
    View(MeasureViewArguments),
    /// Bytes, times and memory of membership by fleet size.
    Membership(MeasureMembershipArguments),
}

/// Runs the measurement.
pub fn run(arguments: &MeasureArguments) -> eyre::Result<ExitCode> {
    match &arguments.matter {
        Matter::Allowance(arguments) => measure_allowance::run(arguments),
        Matter::Capacity(arguments) => measure_capacity::run(arguments),
        Matter::Gray(arguments) => measure_fleet::run(arguments, measure_fleet::GRAY),
        Matter::Fairness(arguments) => measure_fleet::run(arguments, measure_fleet::FAIRNESS),
        Matter::Domains(arguments) => measure_fleet::run(arguments, measure_fleet::DOMAINS),
        Matter::All(arguments) => measure_fleet::run(arguments, measure_fleet::ALL),
        Matter::View(arguments) => measure_view::run(arguments),
        Matter::Membership(arguments) => measure_membership::run(arguments),
    }
}
