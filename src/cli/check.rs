//! The command `banyanbeam check`, which checks a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use super::EXIT_USAGE;
use crate::settings::Settings;

/// Arguments of `banyanbeam check`.
#[derive(Debug, Args)]
pub struct CheckArguments {
    /// Path of the settings file, in JSON.
    settings: PathBuf,
}

/// Loads the settings file and prints every error that it has.
pub fn run(arguments: &CheckArguments) -> eyre::Result<ExitCode> {
    match Settings::load(&arguments.settings) {
        Ok(_) => Ok(ExitCode::SUCCESS),
        Err(error) => {
            eprintln!("banyanbeam: {error}");
            Ok(ExitCode::from(EXIT_USAGE))
        }
    }
}
