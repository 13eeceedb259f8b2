use super::*;
use crate::link::{RecordsAnswer, RecordsRequest};
use crate::types::Offset;

/// Returns the request for records that the actions send to a peer.
fn peer_request(actions: &[JournalAction]) -> Option<RecordsRequest> {
    actions.iter().find_map(|action| match action {
        JournalAction::AskPeer { request, .. } => Some(request.clone()),
        _ => None,
    })
}

/// Returns the answer of a journal to a peer's request for records.
fn answer_peer(
    journal: &mut Journal,
    request: RecordsRequest,
) -> Result<RecordsAnswer, crate::link::LinkError> {
    let event = JournalEvent::PeerAsked {
        from: crate::link::PeerName {
            daemon: "b".into(),
            incarnation: 1,
        },
        request,
        reply: Box::new(|_| {}),
    };
    let actions = journal.handle(event);
    let answer = actions.into_iter().find_map(|action| match action {
        JournalAction::AnswerPeer { answer, .. } => Some(answer),
        _ => None,
    });
    answer.expect("a peer is answered")
}

/// Delivers a peer's answer to a request for records from offset `from` on.
fn receive_peer_answer(
    journal: &mut Journal,
    from: Offset,
    answer: RecordsAnswer,
) -> Vec<JournalAction> {
    let asked_at = journal.now;
    journal.handle(JournalEvent::PeerAnswered {
        from,
        asked_at,
        result: Ok(answer),
    })
}

#[test]
fn a_daemon_that_starts_while_the_log_is_down_gets_the_view_from_a_peer() {
    // Arrange
    let mut peer = Journal::new("a");
    peer.read(0, records(0, &[publish(1, None, "o")]), 1);
    let mut journal = Journal::new("b");
    journal.fleet(&["a", "b"]);
    journal.log_down();

    // Act
    let request = peer_request(&journal.wait_ms(1_500)).expect("a peer is asked");
    let first = answer_peer(&mut peer, request.clone()).unwrap();
    let more = receive_peer_answer(&mut journal, request.from, first);
    let request = peer_request(&more).expect("a peer is asked for more");
    let second = answer_peer(&mut peer, request.clone()).unwrap();
    let actions = receive_peer_answer(&mut journal, request.from, second);

    // Assert
    assert_eq!(journal.published(&actions).organisations.len(), 1);
}

#[test]
fn a_daemon_without_a_usable_view_refuses_requests_of_peers() {
    // Arrange
    let mut journal = Journal::new("a");
    let request = RecordsRequest {
        stream: CONFIGURATION.to_owned(),
        from: 0,
        era: 0,
        limit_count: 10,
    };

    // Act and assert
    assert!(answer_peer(&mut journal, request).is_err());
}

#[test]
fn a_view_becomes_unusable_without_contact_to_the_log_and_peers() {
    // Arrange
    let mut journal = Journal::new("a");
    journal.fleet(&["a", "b"]);
    journal.read(0, records(0, &[publish(1, None, "o")]), 1);

    // Act
    let before = journal.wait_ms(9_999);
    let after = journal.wait_ms(2);
    let back = journal.read(1, Vec::new(), 1);

    // Assert
    let usable = |actions: &[JournalAction]| {
        actions.iter().find_map(|action| match action {
            JournalAction::ViewUsable(usable) => Some(*usable),
            _ => None,
        })
    };
    assert_eq!(usable(&before), None);
    assert_eq!(usable(&after), Some(false));
    assert_eq!(usable(&back), Some(true));
}

#[test]
fn a_peer_that_skips_records_or_claims_an_offset_does_not_advance_the_view() {
    // Arrange
    let mut journal = Journal::new("a");
    journal.read(0, Vec::new(), 0);
    let skipping = RecordsAnswer {
        checkpoint: None,
        records: records(1, &[publish(1, None, "o")]),
        next: 2,
    };
    let claiming = RecordsAnswer {
        checkpoint: None,
        records: Vec::new(),
        next: 900,
    };

    // Act
    let skipped = receive_peer_answer(&mut journal, 0, skipping);
    receive_peer_answer(&mut journal, 0, claiming);
    let read = journal.read(0, records(0, &[publish(2, None, "p")]), 1);

    // Assert
    assert!(counts(&skipped).contains(&"journal.peer.gap"));
    let view = journal.published(&read);
    assert_eq!((view.next, view.organisations.len()), (1, 1));
}

#[test]
fn a_withdrawal_received_from_a_peer_is_in_force_at_once() {
    // Arrange
    let mut journal = Journal::new("a");
    let key_hash = [1; 32];
    journal.read(
        0,
        records(0, &[publish(1, None, "o"), grant(2, key_hash)]),
        2,
    );

    // Act
    let hashes = vec![key_hash];
    let actions = journal.handle(JournalEvent::TombstonesReceived { hashes });

    // Assert
    assert_eq!(
        journal.published(&actions).key(&key_hash),
        KeyLookup::Withdrawn
    );
}
