use std::time::{Duration, Instant};

use super::message::{JournalAction, JournalEvent, LogRecord, SubmitOutcome};
use super::state::JournalState;
use super::*;
use crate::contract::{Change, KeyLookup, OrganisationContract, Record};
use crate::settings::journal::JournalSettings;

mod era;
mod fake;
mod invalid;
mod peers;
mod submissions;

use fake::*;

#[test]
fn a_malformed_record_is_counted_and_skipped() {
    // Arrange
    let mut journal = Journal::new("a");
    let records = vec![LogRecord {
        offset: 0,
        body: "not json".to_owned(),
    }];

    // Act
    let actions = journal.read(0, records, 1);

    // Assert
    assert!(counts(&actions).contains(&"journal.record.malformed"));
    assert_eq!(journal.published(&actions).next, 1);
}

#[test]
fn an_empty_read_of_another_stream_is_delivered_with_its_send_time() {
    // Arrange
    let mut journal = Journal::new("a");
    let asked_at = journal.now;
    let event = JournalEvent::ReadEnded {
        stream: MEMBERS,
        asked_at,
        from: 5,
        result: Ok(Batch {
            records: Vec::new(),
            next: 5,
        }),
    };

    // Act
    let actions = journal.handle(event);

    // Assert
    let delivered = actions.iter().any(|action| {
        matches!(action, JournalAction::Deliver { stream: MEMBERS, asked_at: at, records, next: 5 }
            if *at == asked_at && records.is_empty())
    });
    assert!(delivered);
}

#[test]
fn a_view_is_published_only_after_the_log_was_read_to_its_end() {
    // Arrange
    let mut journal = Journal::with_settings(JournalSettings {
        batch_count: 2,
        ..Default::default()
    });
    let bodies = [
        publish(1, None, "o"),
        publish(2, None, "p"),
        publish(3, None, "q"),
    ];

    // Act
    let first = journal.read(0, records(0, &bodies[..2]), 2);
    let second = journal.read(2, records(2, &bodies[2..]), 3);

    // Assert
    assert!(!first
        .iter()
        .any(|action| matches!(action, JournalAction::Publish(_))));
    assert_eq!(journal.published(&second).organisations.len(), 3);
}

#[test]
fn records_that_are_no_longer_kept_are_replaced_by_a_checkpoint() {
    // Arrange
    let mut writer = Journal::new("a");
    let actions = writer.read(0, records(0, &[publish(1, None, "o")]), 1);
    let text = writer.published(&actions).to_checkpoint();
    let mut journal = Journal::new("b");

    // Act
    let truncated = journal.read_failed(LogError::Truncated(1));
    let taken = journal.handle(JournalEvent::CheckpointSearchEnded { text: Some(text) });
    let end = journal.read(1, Vec::new(), 1);

    // Assert
    assert_eq!(command(&truncated), Some(ReaderCommand::FindCheckpoint));
    let from_one = ReaderCommand::Read {
        from: 1,
        pause: false,
    };
    assert_eq!(command(&taken), Some(from_one));
    assert_eq!(journal.published(&end).organisations.len(), 1);
}

#[test]
fn a_checkpoint_of_a_lower_offset_changes_nothing() {
    // Arrange
    let mut journal = Journal::new("a");
    let actions = journal.read(0, records(0, &[publish(1, None, "o")]), 1);
    let old = journal.published(&actions).to_checkpoint();
    journal.read(1, records(1, &[publish(2, None, "p")]), 2);

    // Act
    let actions = journal.handle(JournalEvent::CheckpointSearchEnded { text: Some(old) });

    // Assert
    assert!(counts(&actions).contains(&"journal.checkpoint.passed-over"));
    let from_two = ReaderCommand::Read {
        from: 2,
        pause: true,
    };
    assert_eq!(command(&actions), Some(from_two));
}

#[test]
fn the_checkpoint_of_a_prefix_does_not_depend_on_the_batches() {
    // Arrange
    let bodies = [
        publish(1, None, "o"),
        publish(2, None, "p"),
        grant(3, [7; 32]),
    ];
    let mut whole = Journal::new("a");
    let mut single = Journal::new("b");

    // Act
    let at_once = whole.read(0, records(0, &bodies), 3);
    let mut last = Vec::new();
    for (index, body) in bodies.iter().enumerate() {
        let offset = index as u64;
        last = single.read(
            offset,
            records(offset, std::slice::from_ref(body)),
            offset + 1,
        );
    }

    // Assert
    let expected = whole.published(&at_once).to_checkpoint();
    assert_eq!(single.published(&last).to_checkpoint(), expected);
    let again = crate::contract::View::from_checkpoint(&expected).unwrap();
    assert_eq!(again.to_checkpoint(), expected);
}

#[test]
fn records_after_a_gap_are_not_applied_and_are_read_again() {
    // Arrange
    let mut journal = Journal::new("a");
    journal.read(0, Vec::new(), 0);

    // Act
    let actions = journal.read(3, records(3, &[publish(1, None, "o")]), 4);

    // Assert
    assert!(counts(&actions).contains(&"journal.read.gap"));
    let from_zero = ReaderCommand::Read {
        from: 0,
        pause: false,
    };
    assert_eq!(command(&actions), Some(from_zero));
}
