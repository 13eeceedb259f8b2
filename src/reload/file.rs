//! The settings file on the VM.

use std::path::{Path, PathBuf};

use super::SettingsSource;
use crate::settings::merge::Merged;
use crate::settings::Settings;

/// A function that parses and checks the text of the settings file at a path. A field that is
/// refused by itself has its value of the present settings.
pub type ParseSettings = fn(&Path, &str, &Settings) -> Result<Merged, String>;

/// A settings file in JSON.
pub struct SettingsFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Parses and checks its text.
    pub parse: ParseSettings,
}

impl SettingsFile {
    /// Returns a file of the product's own format, which is refused as a whole.
    pub fn built_in(path: &Path) -> SettingsFile {
        SettingsFile {
            path: path.to_owned(),
            parse: |path, text, _| {
                let settings = Settings::parse(path, text).map_err(|error| error.to_string())?;
                Ok(Merged {
                    settings,
                    refused: Vec::new(),
                })
            },
        }
    }
}

impl SettingsSource for SettingsFile {
    fn read(&mut self) -> Result<Vec<u8>, String> {
        let path = self.path.display();
        std::fs::read(&self.path).map_err(|error| format!("settings file {path}: {error}"))
    }

    fn parse(&self, content: &[u8], present: &Settings) -> Result<Merged, String> {
        let text = std::str::from_utf8(content).map_err(|error| error.to_string())?;
        (self.parse)(&self.path, text, present)
    }
}
