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
        asked_at: Instant::now(),
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

#[test]
fn an_empty_read_of_another_stream_is_handed_over_with_its_time() {
    // Arrange
    let mut state = JournalState::default();
    let asked_at = Instant::now();
    let event = JournalEvent::Read {
        stream: MEMBERS,
        asked_at,
        result: Ok(Batch {
            records: Vec::new(),
            next: 5,
        }),
    };

    // Act
    let actions = state.handle(asked_at, event);

    // Assert
    assert!(matches!(
        &actions[..],
        [JournalAction::Hand { stream: MEMBERS, asked_at: at, records, next: 5 }]
            if *at == asked_at && records.is_empty()
    ));
}
