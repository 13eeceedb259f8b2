use super::message::{Decision, Subject};
use super::state::AuditState;

fn decision(server: &str, verdict: &str) -> Decision {
    Decision {
        at_ms: 0,
        subject: Subject::Server(server.into()),
        verdict: verdict.to_owned(),
        rule: "test".to_owned(),
        evidence: Vec::new(),
    }
}

#[test]
fn the_oldest_decision_makes_room_and_is_counted() {
    // Arrange
    let mut state = AuditState::new(2);

    // Act
    for verdict in ["first", "second", "third"] {
        state.record(decision("s", verdict));
    }

    // Assert
    let verdicts: Vec<String> = state
        .about(&Subject::Server("s".into()))
        .into_iter()
        .map(|d| d.verdict)
        .collect();
    assert_eq!(verdicts, ["third", "second"]);
    assert_eq!(state.dropped_count(), 1);
}
