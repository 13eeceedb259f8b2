//! Keeps the settings of a running daemon up to date with their file.
//!
//! The file is read on a signal, at regular intervals, and when another duty needs to know what it
//! says at present. Contents are compared, because two versions of the file may have the same length
//! and the same time of change.

pub mod duty;
mod file;
mod message;
mod state;

pub use file::{ParseService, ParseSettings, SettingsFile};
pub use message::{ReloadMessage, ServiceRead};

use crate::settings::Settings;
use crate::types::ServiceId;

/// The settings file of a daemon.
pub trait SettingsSource: Send {
    /// Returns the present content of the file.
    fn read(&mut self) -> Result<Vec<u8>, String>;

    /// Parses and checks a content.
    fn parse(&self, content: &[u8]) -> Result<Settings, String>;

    /// Returns the service that a content names for this VM, even if other values are invalid.
    /// Empty if it names none, and `None` if the content is incomplete.
    fn service(&self, content: &[u8]) -> Option<ServiceId>;
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
