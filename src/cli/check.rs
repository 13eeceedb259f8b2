//! `banyanbeam check`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use super::EXIT_USAGE;
use crate::settings::Settings;

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArguments {
    /// Settings file, JSON.
    settings: PathBuf,
}

/// Checks a settings file.
pub fn run(arguments: &CheckArguments) -> eyre::Result<ExitCode> {
    match Settings::load(&arguments.settings) {
        Ok(_) => Ok(ExitCode::SUCCESS),
        Err(error) => {
            eprintln!("banyanbeam: {error}");
            Ok(ExitCode::from(EXIT_USAGE))
        }
    }
}
