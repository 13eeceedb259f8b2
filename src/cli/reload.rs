//! Reads the settings file again when a signal asks for it, or when the file has changed.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use crossbeam::channel::{Receiver, RecvTimeoutError};

use crate::daemon::SettingsUpdater;
use crate::settings::Settings;

/// Wait between two looks at the file; it may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Reads and checks a settings file.
pub type ReadSettings = fn(&Path) -> Result<Settings, String>;

/// Keeps a daemon's settings as its file says.
pub struct Reloader {
    /// The file.
    pub path: PathBuf,
    /// Reads it.
    pub read: ReadSettings,
    /// Takes what it says.
    pub updater: SettingsUpdater,
}

/// What tells one state of a file from another.
type Stamp = Option<(SystemTime, u64)>;

fn stamp(path: &Path) -> Stamp {
    let file = std::fs::metadata(path).ok()?;
    Some((file.modified().ok()?, file.len()))
}

/// The file at the last look. It may have changed since the daemon read it at its start, so the
/// first look counts as a change.
#[derive(Default)]
struct LastLook(Option<Stamp>);

impl LastLook {
    /// Takes what is found now. Says whether it differs.
    fn changed(&mut self, found: Stamp) -> bool {
        self.0.replace(found) != Some(found)
    }
}

impl Reloader {
    /// Reads the file again for each signal and each change, until the daemon ends.
    pub fn run(mut self, signals: &Receiver<()>) {
        let mut last_look = LastLook::default();
        loop {
            let asked = match signals.recv_timeout(LOOK_EVERY) {
                Ok(()) => true,
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let changed = last_look.changed(stamp(&self.path));
            if asked || changed {
                self.reload();
            }
        }
    }

    fn reload(&mut self) {
        let settings = match (self.read)(&self.path) {
            Ok(settings) => settings,
            Err(problem) => {
                // What is in force stays.
                return log::warn!(problem; "settings_refused");
            }
        };
        if settings == *self.updater.settings() {
            return log::info!("settings_unchanged");
        }
        let waiting = self.updater.apply(settings).join(",");
        log::info!(waiting; "settings_in_force");
    }
}

#[cfg(test)]
mod tests;
