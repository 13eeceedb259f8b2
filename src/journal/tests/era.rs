//! A log that returns from a copy.

use std::time::Duration;

use crate::journal::client::HttpLog;
use crate::journal::{LogError, PlatformLog};
use crate::settings::journal::JournalSettings;
use crate::standin::platform_log;

/// Guards against a partition that is given to a second holder, since the log has forgotten the first.
#[test]
fn a_daemon_does_not_go_on_with_a_log_that_has_lost_records() {
    // Arrange
    let any = "127.0.0.1:0".parse().expect("a literal address");
    let address = platform_log::start(any).expect("a log").address;
    let settings = JournalSettings {
        address,
        ..Default::default()
    };
    let log = HttpLog::new(&settings);
    log.append("escrow", "claim").expect("appended");
    let before = log.read("escrow", 0, 10, Duration::ZERO).expect("read");

    // Act
    let url = format!("http://{address}/return?lost_ms=60000");
    let returned = attohttpc::post(&url).send().expect("an answer");
    let read = log.read("escrow", before.next, 10, Duration::ZERO);
    let append = log.append("escrow", "claim of another");
    let restarted = HttpLog::new(&settings).read("escrow", 0, 10, Duration::ZERO);
    let beyond = HttpLog::new(&settings).read("escrow", 9, 10, Duration::ZERO);

    // Assert
    assert!(returned.is_success());
    assert_eq!(before.records.len(), 1);
    assert!(matches!(read, Err(LogError::Unavailable(_))), "{read:?}");
    assert!(
        matches!(append, Err(LogError::Unavailable(_))),
        "{append:?}"
    );
    let bodies = restarted.expect("read").records;
    assert!(bodies.is_empty(), "{bodies:?}");
    assert!(matches!(beyond, Err(LogError::Unavailable(problem)) if problem.contains("410")));
}
