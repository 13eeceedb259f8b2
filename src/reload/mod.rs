//! Keeps the settings of a running daemon up to date with their file.
//!
//! The file is read on a signal, at regular intervals, and when another duty needs to know what it
//! says at present. Contents are compared, because two versions of the file may have the same length
//! and the same time of change.

pub mod duty;
mod file;
mod message;
mod state;

pub use file::{ParseSettings, SettingsFile};
pub use message::{ReloadMessage, ServiceRead};

use crate::settings::merge::Merged;
use crate::settings::Settings;

/// The settings file of a daemon.
pub trait SettingsSource: Send {
    /// Returns the present content of the file.
    fn read(&mut self) -> Result<Vec<u8>, String>;

    /// Parses and checks a content. A field that is refused by itself has its value of the `present`
    /// settings.
    fn parse(&self, content: &[u8], present: &Settings) -> Result<Merged, String>;
}

/// The running daemon, to which settings are applied.
pub trait SettingsTarget: Send {
    /// Applies settings, and returns the sections that take effect at the next start of the daemon.
    fn apply(&mut self, settings: Settings) -> Vec<&'static str>;

    /// Reports the service that a read of the file named.
    fn report_service(&mut self, read: ServiceRead);
}

#[cfg(test)]
mod tests;
