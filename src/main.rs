//! Entry point of the `banyanbeam` binary: parses the command line and runs the command.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    banyanbeam::cli::run(banyanbeam::cli::Arguments::parse())
}
