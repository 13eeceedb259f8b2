//! The settings file on the VM.

use std::path::{Path, PathBuf};

use super::SettingsSource;
use crate::settings::Settings;
use crate::types::ServiceId;

/// A function that parses and checks the text of the settings file at a path.
pub type ParseSettings = fn(&Path, &str) -> Result<Settings, String>;
/// A function that returns the service that the text of a settings file names for this VM.
pub type ParseService = fn(&str) -> Option<ServiceId>;

/// A settings file in JSON.
pub struct SettingsFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Parses and checks its text.
    pub parse: ParseSettings,
    /// Finds the service in its text, even if other values are invalid.
    pub service: ParseService,
}

impl SettingsSource for SettingsFile {
    fn read(&mut self) -> Result<Vec<u8>, String> {
        let path = self.path.display();
        std::fs::read(&self.path).map_err(|error| format!("settings file {path}: {error}"))
    }

    fn parse(&self, content: &[u8]) -> Result<Settings, String> {
        let text = std::str::from_utf8(content).map_err(|error| error.to_string())?;
        (self.parse)(&self.path, text)
    }

    fn service(&self, content: &[u8]) -> Option<ServiceId> {
        (self.service)(std::str::from_utf8(content).ok()?)
    }
}
