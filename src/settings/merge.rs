//! Merges the settings of a file with those in force field by field, so that one refused value does
//! not keep the others from taking effect.

use serde_json::{Map, Value};

use super::{LoadError, Settings, SettingsError};
use crate::report_once::shortened;

/// Settings, and the fields of their file that were refused.
#[derive(Debug, Clone, PartialEq)]
pub struct Merged {
    /// Settings of the file. A refused field has its value of the settings in force.
    pub settings: Settings,
    /// The refused fields with their values.
    pub refused: Vec<SettingsError>,
}

impl Settings {
    /// Returns the settings of a file, in which fields of the wrong name or type are refused. A
    /// field that the file leaves out has its default. The result is not checked against bounds.
    pub fn merge(file: &Map<String, Value>, present: &Settings) -> Merged {
        let mut merged = Merged {
            settings: Settings::default(),
            refused: Vec::new(),
        };
        if let Ok(settings) = serde_json::from_value(Value::Object(file.clone())) {
            merged.settings = settings;
            return merged;
        }
        for (section, fields) in file {
            let Value::Object(fields) = fields else {
                merged.refuse(present, section, None, fields, "must be an object");
                continue;
            };
            for (field, value) in fields {
                match merged.settings.with_field(section, field, value) {
                    Ok(settings) => merged.settings = settings,
                    Err(problem) => merged.refuse(present, section, Some(field), value, &problem),
                }
            }
        }
        merged
    }

    /// Returns these settings with another value in one field.
    fn with_field(&self, section: &str, field: &str, value: &Value) -> Result<Settings, String> {
        let mut all = serde_json::to_value(self).map_err(|error| error.to_string())?;
        all[section][field] = value.clone();
        serde_json::from_value(all).map_err(|error| error.to_string())
    }

    /// Gives each field out of its bounds its value of the settings in force, and returns these
    /// fields.
    pub fn restore_refused(&mut self, present: &Settings) -> Vec<SettingsError> {
        let mut refused = Vec::new();
        while let Err(LoadError::Values(errors)) = self.check() {
            let before = self.clone();
            for error in &errors {
                if let Some((section, field)) = error.field.split_once('.') {
                    self.restore(present, section, field);
                }
            }
            refused.extend(errors);
            if *self == before {
                break;
            }
        }
        refused
    }

    /// Gives one field its value of other settings, if they have it.
    fn restore(&mut self, from: &Settings, section: &str, field: &str) {
        let from = serde_json::to_value(from).unwrap_or_default();
        let Some(value) = from.get(section).and_then(|fields| fields.get(field)) else {
            return;
        };
        if let Ok(settings) = self.with_field(section, field, value) {
            *self = settings;
        }
    }
}

impl Merged {
    /// Records a refused field, or section without `field`, and gives it its value of the settings
    /// in force.
    fn refuse(
        &mut self,
        present: &Settings,
        section: &str,
        field: Option<&str>,
        value: &Value,
        problem: &str,
    ) {
        let path = field.map_or(section.to_owned(), |field| format!("{section}.{field}"));
        let (value, problem) = match field {
            Some(SECRET_FIELD) => ("(hidden)".to_owned(), "must be a text".to_owned()),
            _ => (
                shortened(&value.to_string()).to_owned(),
                format!("was refused: {problem}"),
            ),
        };
        self.refused.push(SettingsError {
            field: path,
            value,
            problem,
        });
        let all = serde_json::to_value(present).unwrap_or_default();
        let fields = all.get(section).and_then(Value::as_object);
        let names = fields.into_iter().flat_map(Map::keys);
        for name in names.filter(|name| field.is_none_or(|field| field == *name)) {
            self.settings.restore(present, section, name);
        }
    }
}

/// Name of the field whose value is never shown.
const SECRET_FIELD: &str = "fleet_secret";
