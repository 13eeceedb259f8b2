//! `banyanbeam settings`.

use std::process::ExitCode;

use clap::Args;

use crate::settings::Settings;

/// Arguments of `settings`.
#[derive(Debug, Args)]
pub struct SettingsArguments {
    /// Prints all settings with their defaults.
    #[arg(long, required = true)]
    print_default: bool,
}

/// Prints the default settings.
pub fn run(_arguments: &SettingsArguments) -> eyre::Result<ExitCode> {
    println!("{}", serde_json::to_string_pretty(&Settings::default())?);
    Ok(ExitCode::SUCCESS)
}
