//! The one binary: `banyanbeam`.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    banyanbeam::cli::run(banyanbeam::cli::Arguments::parse())
}
