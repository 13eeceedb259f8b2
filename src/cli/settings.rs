//! The command `banyanbeam settings`, which prints the default settings.

use std::process::ExitCode;

use clap::Args;

use crate::settings::Settings;

/// Arguments of `banyanbeam settings`.
#[derive(Debug, Args)]
pub struct SettingsArguments {
    /// Prints all settings with their defaults.
    #[arg(long, required = true)]
    print_default: bool,
}

/// Prints the default settings as JSON.
pub fn run(_arguments: &SettingsArguments) -> eyre::Result<ExitCode> {
    println!("{}", serde_json::to_string_pretty(&Settings::default())?);
    Ok(ExitCode::SUCCESS)
}
