use std::sync::Mutex;

use crossbeam::channel::{bounded, Receiver};
use log::{LevelFilter, Log, Metadata, Record};

use super::{spawn_duty, task_ring, RingSender};
use crate::metrics::Metrics;

/// Logger that collects the lines of level error.
struct ErrorLogger(Mutex<Vec<String>>);

impl Log for ErrorLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() == log::Level::Error
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let duty = std::thread::current().name().unwrap_or_default().to_owned();
            let problem = record.key_values().get("problem".into());
            let line = format!("{duty}: {} {problem:?}", record.args());
            self.0.lock().expect("no panic while logging").push(line);
        }
    }

    fn flush(&self) {}
}

static ERROR_LOGGER: ErrorLogger = ErrorLogger(Mutex::new(Vec::new()));

#[test]
fn a_panic_in_a_duty_is_logged_as_an_error() {
    // Arrange
    log::set_logger(&ERROR_LOGGER).expect("no other test sets a logger");
    log::set_max_level(LevelFilter::Error);

    // Act
    let ended = spawn_duty("broken", || panic!("odd {}", 7)).join();

    // Assert
    assert!(ended.is_err());
    let lines = ERROR_LOGGER
        .0
        .lock()
        .expect("no panic while logging")
        .clone();
    let own: Vec<&String> = lines
        .iter()
        .filter(|line| line.starts_with("broken"))
        .collect();
    assert_eq!(own.len(), 1, "{lines:?}");
    assert!(
        own[0].contains("duty_failed") && own[0].contains("odd 7"),
        "{own:?}"
    );
}

/// Far longer than any step takes; only a failing test waits so long.
const GIVE_UP: std::time::Duration = std::time::Duration::from_secs(10);

/// Starts a task that sends on what it receives, and returns the ring to it.
fn forwarding_task() -> (RingSender<u32>, Receiver<Option<u32>>) {
    let (sender, receiver) = task_ring("task", 1, &Metrics::local());
    let (seen_sender, seen) = bounded(8);
    spawn_duty("task", move || {
        async_io::block_on(async {
            loop {
                let event = receiver.next().await;
                seen_sender.send(event).expect("the test waits");
                if event.is_none() {
                    return;
                }
            }
        });
    });
    (sender, seen)
}

#[test]
fn a_waiting_task_is_woken_by_each_event() {
    let (sender, seen) = forwarding_task();
    for event in 0..4 {
        sender.deliver(event);
        assert_eq!(seen.recv_timeout(GIVE_UP), Ok(Some(event)));
    }
}

#[test]
fn a_waiting_task_ends_when_the_last_sender_is_dropped() {
    // Arrange
    let (sender, seen) = forwarding_task();
    let other = sender.clone();

    // Act
    drop(sender);
    other.deliver(7);
    drop(other);

    // Assert
    assert_eq!(seen.recv_timeout(GIVE_UP), Ok(Some(7)));
    assert_eq!(seen.recv_timeout(GIVE_UP), Ok(None));
}
