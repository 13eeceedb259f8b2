//! The command `banyanbeam serve`, which runs one daemon.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use crossbeam::channel::bounded;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::reload::{ReadSettings, Reloader};
use super::{logging, EXIT_USAGE};
use crate::daemon::{self, Interfaces};
use crate::ring::spawn_duty;
use crate::settings::Settings;

/// Arguments of `banyanbeam serve`.
#[derive(Debug, Args)]
pub struct ServeArguments {
    /// Path of the settings file, in JSON.
    settings: PathBuf,
}

/// Runs a daemon with the product's own interfaces until a signal asks it to stop.
pub fn run(arguments: &ServeArguments) -> eyre::Result<ExitCode> {
    let settings = match read(&arguments.settings) {
        Ok(settings) => settings,
        Err(problem) => {
            eprintln!("banyanbeam: {problem}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    run_with(settings, (&arguments.settings, read), Interfaces::built_in)
}

/// Reads and checks the settings file.
fn read(path: &Path) -> Result<Settings, String> {
    Settings::load(path).map_err(|error| error.to_string())
}

/// Runs a daemon with the given interfaces until a signal asks it to stop. The interfaces are
/// created after logging has started. The settings are read again from their file while the daemon
/// runs.
pub fn run_with(
    settings: Settings,
    (path, read): (&Path, ReadSettings),
    interfaces: impl FnOnce(&Settings) -> Interfaces,
) -> eyre::Result<ExitCode> {
    let lines = logging::start(&settings.log, &settings.daemon.daemon)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let stop_limit = settings.daemon.stop_limit();
    let interfaces = interfaces(&settings);
    let daemon = daemon::start_with(settings.clone(), interfaces)?;
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
    let (reload_sender, reload_requests) = bounded(1);
    let reloader = Reloader {
        path: path.to_owned(),
        read,
        updater: daemon.settings_updater(&settings),
    };
    spawn_duty("settings", move || reloader.run(&reload_requests));
    for signal in signals.forever() {
        if signal != SIGHUP {
            log::info!(signal; "daemon_stopping");
            break;
        }
        log::info!(signal; "daemon_reload");
        // A full channel means that a reload is pending, which reads the newest file.
        let _ = reload_sender.try_send(());
    }
    daemon.stop(stop_limit);
    log::info!("daemon_stopped");
    log::logger().flush();
    Ok(ExitCode::SUCCESS)
}
