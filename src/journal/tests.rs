use std::time::Instant;

use super::message::{JournalAction, JournalEvent, LogRecord};
use super::state::JournalState;
use super::*;

#[test]
fn a_malformed_record_is_counted_and_passed_over() {
    // Arrange
    let mut state = JournalState::default();
    let records = vec![LogRecord {
        offset: 0,
        body: "not json".to_owned(),
    }];
    let event = JournalEvent::Read {
        stream: CONFIGURATION,
        result: Ok(Batch { records, next: 1 }),
    };

    // Act
    let actions = state.handle(Instant::now(), event);

    // Assert
    assert!(matches!(
        actions[0],
        JournalAction::Count("journal.record.malformed")
    ));
    assert!(matches!(&actions[1], JournalAction::Publish(view) if view.next == 1));
}
