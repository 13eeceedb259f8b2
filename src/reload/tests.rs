//! Tests of what follows from reads of the settings file.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, unbounded, Receiver, Sender};

use super::duty::{run, ReloadContext};
use super::state::{FileRead, ReloadAction, ReloadState, Trigger};
use super::{ReloadMessage, ServiceRead, SettingsSource, SettingsTarget};
use crate::clock::SystemClock;
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

/// A daemon that passes on the times at which reads of its file ended.
struct ReadTimes(Sender<Instant>);

impl SettingsTarget for ReadTimes {
    fn apply(&mut self, _: Settings) -> Vec<&'static str> {
        Vec::new()
    }

    fn report_service(&mut self, read: ServiceRead) {
        // The receiver is gone once the test has ended.
        let _ = self.0.send(read.ended_at);
    }
}

/// Reads of a missing file after which the pause is longer than `PROMPTLY`.
const MISSING_COUNT: usize = 12;
/// Time within which a message is handled that does not wait for the pause.
const PROMPTLY: Duration = Duration::from_millis(150);

/// Starts the thread on a missing file and returns once the pause between reads is long.
fn start_missing() -> (Sender<ReloadMessage>, Receiver<Instant>, Receiver<()>) {
    let (messages, receiver) = bounded(16);
    let (times, read_times) = unbounded();
    let (end, ended) = bounded(1);
    let context = ReloadContext {
        clock: Arc::new(SystemClock),
        source: Box::new(NoFile),
        target: Box::new(ReadTimes(times)),
    };
    thread::spawn(move || {
        run(context, Settings::default(), &receiver);
        drop(end);
    });
    messages.send(ReloadMessage::Confirm).expect("a thread");
    assert_eq!(read_times.iter().take(MISSING_COUNT).count(), MISSING_COUNT);
    (messages, read_times, ended)
}

#[test]
fn a_signal_shortens_the_pause_after_incomplete_reads_and_a_request_does_not() {
    // Arrange
    let (messages, read_times, _ended) = start_missing();

    // Act
    messages.send(ReloadMessage::Confirm).expect("a thread");
    let for_request = read_times.recv_timeout(PROMPTLY);
    messages.send(ReloadMessage::Signal).expect("a thread");
    let for_signal = read_times.recv_timeout(PROMPTLY / 3);

    // Assert
    assert!(for_request.is_err());
    assert!(for_signal.is_ok());
}

#[test]
fn the_end_of_the_daemon_does_not_wait_for_the_pause_after_incomplete_reads() {
    // Arrange
    let (messages, _read_times, ended) = start_missing();

    // Act
    messages.send(ReloadMessage::Stop).expect("a thread");
    let ended = ended.recv_timeout(PROMPTLY);

    // Assert
    assert_eq!(
        ended,
        Err(crossbeam::channel::RecvTimeoutError::Disconnected)
    );
}
