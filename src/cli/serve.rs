//! The command `banyanbeam serve`, which runs one daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{logging, EXIT_USAGE};
use crate::daemon::{self, Interfaces};
use crate::reload::SettingsFile;
use crate::settings::Settings;

/// Arguments of `banyanbeam serve`.
#[derive(Debug, Args)]
pub struct ServeArguments {
    /// Path of the settings file, in JSON.
    settings: PathBuf,
}

/// Runs a daemon with the product's own interfaces until a signal asks it to stop.
pub fn run(arguments: &ServeArguments) -> eyre::Result<ExitCode> {
    let settings = match Settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(problem) => {
            eprintln!("banyanbeam: {problem}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let file = SettingsFile::built_in(&arguments.settings);
    run_with(settings, |settings| Interfaces {
        settings: Some(Box::new(file)),
        ..Interfaces::built_in(settings)
    })
}

/// Runs a daemon with the given interfaces until a signal asks it to stop. The interfaces are
/// created after logging has started.
pub fn run_with(
    settings: Settings,
    interfaces: impl FnOnce(&Settings) -> Interfaces,
) -> eyre::Result<ExitCode> {
    let lines = logging::start(&settings.log, &settings.daemon.daemon)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let stop_limit = settings.daemon.stop_limit();
    let interfaces = interfaces(&settings);
    let daemon = daemon::start_with(settings, interfaces)?;
    println!(
        "front {} guard {} announce {} operator {} link {}",
        daemon.front_address,
        daemon.guard_address,
        daemon.announce_address,
        daemon.operator_address,
        daemon.link_address
    );
    lines.start_writer(daemon.incarnation);
    log::info!(front = daemon.front_address.to_string(); "daemon_started");
    for signal in signals.forever() {
        if signal != SIGHUP {
            log::info!(signal; "daemon_stopping");
            break;
        }
        log::info!(signal; "daemon_reload");
        daemon.reload();
    }
    daemon.stop(stop_limit);
    log::info!("daemon_stopped");
    log::logger().flush();
    Ok(ExitCode::SUCCESS)
}
