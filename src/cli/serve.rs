//! `banyanbeam serve`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{logging, EXIT_USAGE};
use crate::daemon;
use crate::settings::Settings;

/// Arguments of `serve`.
#[derive(Debug, Args)]
pub struct ServeArguments {
    /// Settings file, JSON.
    settings: PathBuf,
}

/// Runs a daemon until a signal asks it to stop.
pub fn run(arguments: &ServeArguments) -> eyre::Result<ExitCode> {
    let settings = match Settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("banyanbeam: {error}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    logging::start(&settings.log)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let grace = Duration::from_millis(settings.daemon.stop_grace_ms);
    let daemon = daemon::start(settings)?;
    println!(
        "front {} guard {} announce {} operator {} link {}",
        daemon.front_address,
        daemon.guard_address,
        daemon.announce_address,
        daemon.operator_address,
        daemon.link_address
    );
    if let Some(signal) = signals.forever().next() {
        log::info!("signal {signal}: stopping");
    }
    daemon.stop(grace);
    Ok(ExitCode::SUCCESS)
}
