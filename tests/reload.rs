//! Changes of the settings file while a daemon process runs.

mod support;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};

use banyanbeam::settings::Settings;
use support::{settings, start_log};

/// A daemon process, its settings file, and the lines that it logs.
struct LoggedDaemon {
    child: Child,
    path: PathBuf,
    lines: Receiver<String>,
}

impl LoggedDaemon {
    fn start(settings: &Settings) -> LoggedDaemon {
        let daemon = &settings.daemon.daemon;
        let name = format!("banyanbeam-{daemon}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        write_settings(&path, settings);
        let mut child = Command::new(env!("CARGO_BIN_EXE_banyanbeam"))
            .args(["serve", path.to_str().expect("a path of text")])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let output = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        LoggedDaemon { child, path, lines }
    }

    /// Waits for the next log line of an event and returns it.
    fn wait_for(&self, event: &str) -> String {
        let wanted = format!("\"event\":\"{event}\"");
        loop {
            let line = self.lines.recv().expect("the daemon runs");
            if line.contains(&wanted) {
                return line;
            }
        }
    }
}

impl Drop for LoggedDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

fn write_settings(path: &PathBuf, settings: &Settings) {
    let text = serde_json::to_string(settings).expect("settings become JSON");
    std::fs::write(path, text).expect("the file is written");
}

#[test]
fn changed_file_takes_effect_without_a_signal_and_an_invalid_one_is_refused() {
    // Arrange
    let log = start_log();
    let mut settings = settings("reload", "north", log.address("listening"));
    let daemon = LoggedDaemon::start(&settings);
    daemon.wait_for("daemon_started");

    // Act
    settings.guard.retry_share = 0.125;
    settings.quota.loan_ms = 123;
    write_settings(&daemon.path, &settings);
    let in_force = daemon.wait_for("settings_in_force");
    settings.guard.retry_share = 7.0;
    write_settings(&daemon.path, &settings);
    let refused = daemon.wait_for("settings_refused");

    // Assert
    assert!(in_force.contains("\"waiting\":\"quota\""), "{in_force}");
    assert!(
        refused.contains("guard.retry_share") && refused.contains('7'),
        "{refused}"
    );
}

#[test]
fn changed_file_of_the_same_length_and_time_takes_effect() {
    // Arrange
    let log = start_log();
    let mut settings = settings("same-stamp", "north", log.address("listening"));
    let daemon = LoggedDaemon::start(&settings);
    daemon.wait_for("settings_unchanged");
    let changed_at = std::fs::metadata(&daemon.path).and_then(|file| file.modified());

    let changed_at = changed_at.expect("a time of change");

    // Act
    settings.guard.retry_share = 0.3;
    let beside = daemon.path.with_extension("new");
    write_settings(&beside, &settings);
    let file = File::options().append(true).open(&beside);
    file.and_then(|file| file.set_modified(changed_at))
        .expect("the time is set");
    std::fs::rename(&beside, &daemon.path).expect("the file is replaced");

    // Assert
    daemon.wait_for("settings_in_force");
}
