//! `banyanbeam serve`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{logging, EXIT_USAGE};
use crate::daemon::{self, Borders};
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
    run_with(settings, Borders::own)
}

/// Runs a daemon with other borders than the product's own until a signal asks it to stop. The
/// borders are made once logging has started.
pub fn run_with(
    settings: Settings,
    borders: impl FnOnce(&Settings) -> Borders,
) -> eyre::Result<ExitCode> {
    let lines = logging::start(&settings.log, &settings.daemon.daemon)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let grace = settings.daemon.stop_limit();
    let borders = borders(&settings);
    let daemon = daemon::start_with(settings, borders)?;
    println!(
        "front {} guard {} announce {} operator {} link {}",
        daemon.front_address,
        daemon.guard_address,
        daemon.announce_address,
        daemon.operator_address,
        daemon.link_address
    );
    lines.write(daemon.incarnation);
    log::info!(front = daemon.front_address.to_string(); "daemon_started");
    for signal in signals.forever() {
        if signal != SIGHUP {
            log::info!(signal; "daemon_stopping");
            break;
        }
        // What may change while a daemon runs comes with the configuration.
        log::info!(signal; "daemon_reload_unneeded");
    }
    daemon.stop(grace);
    log::info!("daemon_stopped");
    log::logger().flush();
    Ok(ExitCode::SUCCESS)
}
