//! One refused field must not keep the others of its file from taking effect.

use serde_json::{json, Value};

use crate::settings::Settings;

/// Returns settings in force that differ from the defaults.
fn present() -> Settings {
    let mut settings = Settings::default();
    settings.daemon.service = "orders".into();
    settings.guard.queue_count = 7;
    settings.guard.server_address = "10.0.0.1:80".parse().ok();
    settings.routing.draw_count = 3;
    settings
}

/// Merges a file and restores what is out of bounds; returns the settings and the refused fields.
fn merge(file: Value) -> (Settings, Vec<String>) {
    let file = file.as_object().expect("an object").clone();
    let mut merged = Settings::merge(&file, &present());
    let mut refused = merged.refused;
    refused.extend(merged.settings.restore_refused(&present()));
    (
        merged.settings,
        refused.into_iter().map(|it| it.field).collect(),
    )
}

#[test]
fn a_file_without_refused_fields_is_read_as_a_whole() {
    let file = json!({"daemon": {"service": "labels"}, "guard": {"queue_count": 9}});
    let expected: Settings = serde_json::from_value(file.clone()).expect("valid settings");
    assert_eq!(merge(file), (expected, Vec::new()));
}

#[test]
fn refused_fields_keep_their_present_values() {
    for (name, guard, field) in [
        ("type", json!({"queue_count": "x"}), "guard.queue_count"),
        ("bounds", json!({"queue_count": 5000}), "guard.queue_count"),
        (
            "name",
            json!({"queues": 1, "queue_count": 7}),
            "guard.queues",
        ),
        ("section", json!(5), "guard"),
    ] {
        // Act
        let (settings, refused) = merge(json!({"daemon": {"service": "labels"}, "guard": guard}));

        // Assert
        assert_eq!(refused, [field], "{name}");
        assert_eq!(settings.guard.queue_count, 7, "{name}");
        assert_eq!(&*settings.daemon.service, "labels", "{name}");
        assert!(settings.check().is_ok(), "{name}");
    }
}

#[test]
fn a_refused_secret_is_not_shown() {
    let file = json!({"daemon": {"fleet_secret": 12345}});
    let merged = Settings::merge(file.as_object().expect("an object"), &present());
    assert_eq!(merged.refused.len(), 1);
    assert!(!merged.refused[0].to_string().contains("12345"));
}
