use super::*;

fn submit(record: &Record) -> JournalEvent {
    JournalEvent::Submit(Box::new(record.clone()))
}

#[test]
fn a_change_is_accepted_only_when_its_record_was_read_back() {
    // Arrange
    let mut journal = Journal::new("a");
    journal.read(0, Vec::new(), 0);
    let record = publish(1, None, "o");

    // Act
    let sent = journal.handle(submit(&record));
    let appended = journal.handle(JournalEvent::AppendEnded {
        operation: 1,
        result: Ok(0),
    });
    let read = journal.read(0, records(0, &[record]), 1);

    // Assert
    assert_eq!(appends(&sent), [1]);
    assert!(outcomes(&appended).is_empty());
    assert_eq!(
        outcomes(&read),
        [(1, SubmitOutcome::Accepted { offset: 0 })]
    );
}

#[test]
fn a_lost_append_answer_is_resolved_by_reading_and_not_by_another_append() {
    // Arrange
    let mut journal = Journal::new("a");
    journal.read(0, Vec::new(), 0);
    let record = publish(1, None, "o");
    journal.handle(submit(&record));

    // Act
    let lost = journal.handle(JournalEvent::AppendEnded {
        operation: 1,
        result: Err(LogError::Unavailable("lost".to_owned())),
    });
    let later = journal.wait_ms(3_000);
    let read = journal.read(0, records(0, &[record]), 1);

    // Assert
    assert!(appends(&lost).is_empty() && appends(&later).is_empty());
    assert_eq!(
        outcomes(&read),
        [(1, SubmitOutcome::Accepted { offset: 0 })]
    );
}

#[test]
fn a_change_that_is_never_read_back_ends_as_unknown() {
    // Arrange
    let mut journal = Journal::new("a");
    journal.read(0, Vec::new(), 0);
    journal.handle(submit(&publish(1, None, "o")));

    // Act
    let actions = journal.wait_ms(10_000);

    // Assert
    let unknown = SubmitOutcome::Unknown { read_up_to: 0 };
    assert_eq!(outcomes(&actions), [(1, unknown)]);
}

#[test]
fn a_change_that_lost_a_race_reports_the_winning_author_and_offset() {
    // Arrange
    let mut journal = Journal::new("a");
    journal.read(0, Vec::new(), 0);
    let (mine, other) = (publish(1, None, "o"), publish(2, None, "o"));
    journal.handle(submit(&mine));

    // Act
    let actions = journal.read(0, records(0, &[other, mine]), 2);

    // Assert
    let conflict = SubmitOutcome::Conflict {
        by: Some("operator-2".to_owned()),
        at: Some(0),
    };
    assert_eq!(outcomes(&actions), [(1, conflict)]);
}

#[test]
fn an_operation_submitted_again_gets_the_first_outcome() {
    // Arrange
    let mut journal = Journal::new("a");
    let record = publish(1, None, "o");
    journal.read(0, records(0, std::slice::from_ref(&record)), 1);

    // Act
    let actions = journal.handle(submit(&record));

    // Assert
    assert!(appends(&actions).is_empty());
    assert_eq!(
        outcomes(&actions),
        [(1, SubmitOutcome::Accepted { offset: 0 })]
    );
}

#[test]
fn grants_and_contracts_are_refused_while_the_log_is_down() {
    // Arrange
    let mut journal = Journal::new("a");
    journal.read(0, Vec::new(), 0);
    journal.log_down();

    // Act
    let contract = journal.handle(submit(&publish(1, None, "o")));
    let key = journal.handle(submit(&grant(2, [1; 32])));

    // Assert
    assert_eq!(outcomes(&contract), [(1, SubmitOutcome::LogDown)]);
    assert_eq!(outcomes(&key), [(2, SubmitOutcome::LogDown)]);
    assert!(appends(&contract).is_empty() && appends(&key).is_empty());
}

#[test]
fn a_withdrawal_while_the_log_is_down_is_in_force_at_once_and_appended_later() {
    // Arrange
    let mut journal = Journal::new("a");
    journal.fleet(&["a", "b", "c"]);
    let key_hash = [1; 32];
    journal.read(
        0,
        records(0, &[publish(1, None, "o"), grant(2, key_hash)]),
        2,
    );
    journal.log_down();

    // Act
    let sent = journal.handle(submit(&withdraw(3, key_hash)));
    let spread = journal.wait_ms(300);
    journal.handle(JournalEvent::TombstonesSent {
        peer: "b".into(),
        known_count: 1,
        confirmed: true,
    });
    let confirmed = journal.wait_ms(1_200);
    let back = journal.read(2, Vec::new(), 2);

    // Assert
    assert_eq!(
        journal.published(&sent).key(&key_hash),
        KeyLookup::Withdrawn
    );
    assert!(appends(&sent).is_empty());
    let notified_peers = spread
        .iter()
        .filter(|action| matches!(action, JournalAction::SendTombstones { .. }))
        .count();
    assert_eq!(notified_peers, 2);
    let outcome = SubmitOutcome::NotDurable {
        confirmed_count: 2,
        fleet_count: 3,
    };
    assert_eq!(outcomes(&confirmed), [(3, outcome)]);
    assert_eq!(appends(&back), [3]);
}
