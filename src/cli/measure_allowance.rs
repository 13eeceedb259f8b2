//! The command `banyanbeam measure allowance`.

use std::process::ExitCode;

use clap::Args;

use crate::allowance::measure::{report, slopes};

/// Arguments of `banyanbeam measure allowance`.
#[derive(Debug, Args)]
pub struct MeasureAllowanceArguments {
    /// First seed to run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds to run; each figure is given as minimum, median and worst.
    #[arg(long, default_value_t = 20)]
    seeds_count: u64,
    /// Runs only the scripts whose name contains this text.
    #[arg(long)]
    only: Option<String>,
    /// Prints the cost of organisations at one daemon instead.
    #[arg(long)]
    slopes: bool,
}

/// Numbers of organisations for which `--slopes` measures the cost.
const ORGANISATION_COUNTS: [usize; 4] = [1_000, 10_000, 100_000, 570_000];

/// Prints the figures, and fails if the escrow granted more than rate and burst.
pub fn run(arguments: &MeasureAllowanceArguments) -> eyre::Result<ExitCode> {
    if arguments.slopes {
        println!("{}", slopes::table(&ORGANISATION_COUNTS));
        println!("{}", slopes::escrow_estimate());
        return Ok(ExitCode::SUCCESS);
    }
    let seeds = arguments.seed..arguments.seed + arguments.seeds_count.max(1);
    println!("seeds {seeds:?}; figures are minimum / median / worst over the seeds");
    let (table, over_count) = report::table(seeds, arguments.only.as_deref());
    println!("{table}");
    if over_count > 0 {
        println!("the escrow gave {over_count} tokens over the bound");
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}
