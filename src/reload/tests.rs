//! Tests of what follows from reads of the settings file.

use std::time::{Duration, Instant};

use super::state::{FileRead, ReloadAction, ReloadState, Trigger};
use super::{ServiceRead, SettingsSource};
use crate::settings::merge::Merged;
use crate::settings::Settings;
use crate::types::ServiceId;

/// A source whose contents are given to the state by the test.
struct NoFile;

impl SettingsSource for NoFile {
    fn read(&mut self) -> Result<Vec<u8>, String> {
        Err("no file".to_owned())
    }

    fn parse(&self, content: &[u8], present: &Settings) -> Result<Merged, String> {
        let file = serde_json::from_slice(content).map_err(|error| error.to_string())?;
        Ok(Settings::merge(&file, present))
    }
}

/// A state after its first read, and the time of the reads.
struct Reloading {
    state: ReloadState,
    now: Instant,
}

/// Returns a state with settings of the service `orders` that has read its file once.
fn start() -> Reloading {
    let mut settings = Settings::default();
    settings.daemon.service = "orders".into();
    let mut reloading = Reloading {
        state: ReloadState::new(settings),
        now: Instant::now(),
    };
    let actions = reloading.read(Ok(&content("orders")), Trigger::Check);
    assert_eq!(actions[1], ReloadAction::LogUnchanged);
    reloading
}

/// Returns the content of a file that names a service.
fn content(service: &str) -> String {
    format!(r#"{{"daemon":{{"service":"{service}"}}}}"#)
}

impl Reloading {
    /// Handles a read and returns its actions.
    fn read(&mut self, content: Result<&str, &str>, trigger: Trigger) -> Vec<ReloadAction> {
        let content = content.map(|text| text.as_bytes().to_vec());
        let read = FileRead {
            content: content.map_err(str::to_owned),
            began_at: self.now,
            ended_at: self.now,
            trigger,
        };
        self.state.handle(read, &NoFile).into_vec()
    }

    /// Returns the action that reports a service.
    fn report(&self, service: Option<&str>) -> ReloadAction {
        ReloadAction::ReportService(ServiceRead {
            service: service.map(ServiceId::from),
            began_at: self.now,
            ended_at: self.now,
        })
    }
}

#[test]
fn a_change_between_the_start_and_the_first_check_is_detected() {
    // Arrange
    let mut state = ReloadState::new(Settings::default());
    let now = Instant::now();
    let read = || FileRead {
        content: Ok(content("labels").into_bytes()),
        began_at: now,
        ended_at: now,
        trigger: Trigger::Check,
    };

    // Act
    let first = state.handle(read(), &NoFile);
    let second = state.handle(read(), &NoFile);

    // Assert
    assert!(matches!(first[1], ReloadAction::Apply(_)), "{first:?}");
    assert!(matches!(second[..], [ReloadAction::ReportService(_)]));
}

#[test]
fn a_change_of_the_same_length_is_detected() {
    // Arrange
    let mut reloading = start();

    // Act
    let actions = reloading.read(Ok(&content("labels")), Trigger::Check);

    // Assert
    let ReloadAction::Apply(settings) = &actions[1] else {
        panic!("{actions:?}");
    };
    assert_eq!(&*settings.daemon.service, "labels");
    assert_eq!(actions[0], reloading.report(Some("labels")));
}

#[test]
fn an_unchanged_file_is_logged_for_a_signal_only() {
    // Arrange
    let mut reloading = start();

    // Act
    let checked = reloading.read(Ok(&content("orders")), Trigger::Confirm);
    let signalled = reloading.read(Ok(&content("orders")), Trigger::Signal);

    // Assert
    let report = reloading.report(Some("orders"));
    assert_eq!(checked, std::slice::from_ref(&report));
    assert_eq!(signalled, [report, ReloadAction::LogUnchanged]);
}

#[test]
fn the_service_of_a_file_with_a_refused_field_takes_effect() {
    // Arrange
    let mut reloading = start();
    let odd = r#"{"daemon":{"service":"labels"},"guard":{"server_address":""}}"#;

    // Act
    let actions = reloading.read(Ok(odd), Trigger::Check);

    // Assert
    assert_eq!(actions[0], reloading.report(Some("labels")));
    assert!(matches!(actions[1], ReloadAction::Apply(_)), "{actions:?}");
    assert!(matches!(actions[2], ReloadAction::LogRefused(_)));
}

#[test]
fn an_incomplete_file_reports_no_service_and_is_read_again_soon() {
    // Arrange
    let mut reloading = start();
    let interval = reloading.state.next_check();

    // Act
    let actions = reloading.read(Ok("{\"daemon\":"), Trigger::Check);
    let missing = reloading.read(Err("no such file"), Trigger::Check);

    // Assert
    assert!(
        matches!(actions[1], ReloadAction::LogRefused(_)),
        "{actions:?}"
    );
    assert_eq!(actions[0], reloading.report(None));
    assert_eq!(missing[0], reloading.report(None));
    assert!(reloading.state.is_incomplete());
    assert!(reloading.state.next_check() < interval / 10);
}

#[test]
fn a_file_that_stays_incomplete_is_read_no_more_often_than_at_checks() {
    // Arrange
    let mut reloading = start();
    let interval = reloading.state.next_check();

    // Act
    for _ in 0..1_000 {
        reloading.read(Err("no such file"), Trigger::Check);
    }

    // Assert
    assert_eq!(reloading.state.next_check(), interval);
    assert!(interval > Duration::ZERO);
}
