//! Reads the settings file again on a signal or when the file has changed.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use crossbeam::channel::{Receiver, RecvTimeoutError};

use crate::daemon::SettingsUpdater;
use crate::settings::Settings;

/// Time between two checks of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A function that reads and checks a settings file and returns an error text if it is invalid.
pub type ReadSettings = fn(&Path) -> Result<Settings, String>;

/// Keeps the settings of a running daemon up to date with their file.
pub struct Reloader {
    /// Path of the settings file.
    pub path: PathBuf,
    /// Function that reads and checks the file.
    pub read: ReadSettings,
    /// Applies new settings to the running daemon.
    pub updater: SettingsUpdater,
}

/// Time of the last modification and size of a file; none if it can't be read.
type FileStamp = Option<(SystemTime, u64)>;

/// Returns the present stamp of a file.
fn file_stamp(path: &Path) -> FileStamp {
    let file = std::fs::metadata(path).ok()?;
    Some((file.modified().ok()?, file.len()))
}

/// The file's stamp at the last check; none before the first check. The file may have changed since
/// the daemon read it at its start, so the first check reports a change.
#[derive(Default)]
struct LastStamp(Option<FileStamp>);

impl LastStamp {
    /// Stores the present stamp and returns whether it differs from the last one.
    fn update(&mut self, present: FileStamp) -> bool {
        self.0.replace(present) != Some(present)
    }
}

impl Reloader {
    /// Reloads the file on each signal and each change, until the daemon ends.
    pub fn run(mut self, signals: &Receiver<()>) {
        let mut last_stamp = LastStamp::default();
        loop {
            let requested = match signals.recv_timeout(CHECK_INTERVAL) {
                Ok(()) => true,
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let changed = last_stamp.update(file_stamp(&self.path));
            if requested || changed {
                self.reload(if requested { "signal" } else { "check" });
            }
        }
    }

    /// Reads the file and applies the settings if they are valid and differ from those in force.
    /// `trigger` is what the log names as the reason.
    fn reload(&mut self, trigger: &str) {
        let settings = match (self.read)(&self.path) {
            Ok(settings) => settings,
            Err(problem) => {
                // The daemon keeps its present settings.
                return log::warn!(problem, trigger; "settings_refused");
            }
        };
        if settings == *self.updater.settings() {
            return log::info!(trigger; "settings_unchanged");
        }
        let waiting = self.updater.apply(settings).join(",");
        log::info!(waiting, trigger; "settings_in_force");
    }
}

#[cfg(test)]
mod tests;
