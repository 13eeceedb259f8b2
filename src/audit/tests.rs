use std::sync::Arc;

use super::message::{Decision, Subject, TrailQuery};
use super::state::AuditState;
use crate::contract::{
    AppliedChange, Change, ChangeVerdict, ObjectState, OrganisationContract, Record,
};

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
fn the_oldest_decision_is_removed_at_the_limit_and_counted() {
    // Arrange
    let mut state = AuditState::new(2, 2);

    // Act
    for verdict in ["first", "second", "third"] {
        state.record_decision(decision("s", verdict));
    }

    // Assert
    let trail = state.query(&TrailQuery {
        subject: Some(Subject::Server("s".into())),
        limit_count: 10,
    });
    let verdicts: Vec<String> = trail.decisions.into_iter().map(|d| d.verdict).collect();
    assert_eq!(verdicts, ["third", "second"]);
    assert_eq!(trail.dropped_count, 1);
}

#[test]
fn the_trail_of_an_organisation_shows_its_contract_before_and_after_a_change() {
    // Arrange
    let mut state = AuditState::new(2, 10);
    let contract = |rate_per_s| OrganisationContract {
        organisation: "o".into(),
        rate_per_s,
        ..Default::default()
    };
    let change = |offset, before, after: f64| AppliedChange {
        offset,
        record: Record {
            operation: u128::from(offset),
            base: None,
            author: "ndapewa".to_owned(),
            at_ms: 0,
            change: Change::PublishOrganisation {
                contract: contract(after),
            },
        },
        verdict: ChangeVerdict::Accepted,
        before,
        after: ObjectState::Organisation(Arc::new(contract(after))),
    };

    // Act
    state.record_change(change(4, ObjectState::Absent, 1.0));
    let held = ObjectState::Organisation(Arc::new(contract(1.0)));
    state.record_change(change(9, held, 2.0));
    let trail = state.query(&TrailQuery {
        subject: Some(Subject::Organisation("o".into())),
        limit_count: 1,
    });

    // Assert
    let entry = &trail.changes[0];
    assert_eq!((entry.offset, entry.author.as_str()), (9, "ndapewa"));
    assert_eq!(entry.before["organisation"]["rate_per_s"], 1.0);
    assert_eq!(entry.after["organisation"]["rate_per_s"], 2.0);
}

#[test]
fn a_subject_is_parsed_from_its_text_form() {
    for text in ["server:b2", "key:00ff", "domain:north", "organisation:o:p"] {
        assert_eq!(text.parse::<Subject>().unwrap().to_string(), text);
    }
    assert!("b2".parse::<Subject>().is_err());
}
