use std::sync::Mutex;

use log::{LevelFilter, Log, Metadata, Record};

use super::spawn_duty;

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
