use super::*;
use crate::types::Offset;

fn record(operation: u128, base: Option<Offset>, change: Change) -> Record {
    Record {
        operation,
        base,
        author: "test".to_owned(),
        at_ms: 0,
        change,
    }
}

fn publish(rate_per_s: f64) -> Change {
    let contract = OrganisationContract {
        organisation: "o".into(),
        rate_per_s,
        ..Default::default()
    };
    Change::PublishOrganisation { contract }
}

#[test]
fn of_two_racing_records_the_first_is_in_force() {
    // Arrange
    let mut view = View::default();

    // Act
    let first = view.apply(0, &record(1, None, publish(1.0)));
    let second = view.apply(1, &record(2, None, publish(2.0)));

    // Assert
    assert_eq!((first, second), (Verdict::Accepted, Verdict::StaleBase));
    assert_eq!(view.organisations["o"].rate_per_s, 1.0);
}

#[test]
fn an_operation_appended_twice_is_applied_once() {
    let mut view = View::default();
    view.apply(0, &record(1, None, publish(1.0)));
    assert_eq!(
        view.apply(1, &record(1, Some(0), publish(2.0))),
        Verdict::Repeated
    );
}

#[test]
fn a_withdrawn_key_can_not_be_granted_again() {
    // Arrange
    let mut view = View::default();
    let key_hash = [7; 32];
    let grant = Change::GrantKey {
        organisation: "o".into(),
        key_hash,
    };
    view.apply(0, &record(1, None, grant.clone()));
    view.apply(1, &record(2, Some(0), Change::WithdrawKey { key_hash }));

    // Act
    view.apply(2, &record(3, Some(1), grant));

    // Assert
    assert_eq!(view.key(&key_hash), KeyAnswer::Withdrawn);
}
