use std::collections::BTreeMap;
use std::sync::Arc;

use super::accept::authenticate;
use super::message::*;
use super::state::OperatorState;
use crate::contract::{
    Change, ObjectId, OrganisationContract, Record, RouteContract, ServiceContract, View,
};
use crate::error::ErrorKind;
use crate::journal::SubmitOutcome;
use crate::membership::{DaemonEntry, Fleet, ServerEntry, FULL_SHARE_PERMILLE};
use crate::settings::operator::OperatorEntry;
use crate::wire::hex;
use crate::wire::proof::hash_key;

/// Returns the contract of service `workshop` with this floor.
fn service(floor_share: f64) -> ServiceContract {
    ServiceContract {
        service: "workshop".into(),
        floor_share,
        routes: vec![RouteContract {
            route: "sheets".into(),
            path_prefix: "/sheets".to_owned(),
            ..Default::default()
        }],
        ..Default::default()
    }
}

/// Returns the contract of organisation `optician-1` for one route.
fn organisation(rate_per_s: f64, route: &str) -> OrganisationContract {
    OrganisationContract {
        organisation: "optician-1".into(),
        rate_per_s,
        routes: vec![route.into()],
        ..Default::default()
    }
}

/// Applies changes to a view, as records of its next offsets.
fn apply(view: &mut View, changes: Vec<Change>) {
    for change in changes {
        let offset = view.next;
        let record = Record {
            operation: u128::from(offset) + 1,
            base: view.base_of(&change),
            author: "earlier".to_owned(),
            at_ms: 0,
            change,
        };
        view.apply(offset, &record);
    }
}

/// Returns a state with one service, one organisation and three failure domains of one server each.
fn state_with_floor(floor_share: f64) -> OperatorState {
    let mut view = View::default();
    let contract = service(floor_share);
    let tenant = organisation(1.0, "sheets");
    apply(
        &mut view,
        vec![
            Change::PublishService { contract },
            Change::PublishOrganisation { contract: tenant },
        ],
    );
    let mut state = OperatorState::new("north-1".into(), 7);
    state.handle(OperatorEvent::View(Arc::new(view)));
    state.handle(OperatorEvent::ViewUsable(true));
    let mut fleet = Fleet::default();
    for domain in ["north", "south", "west"] {
        let server = ServerEntry {
            server: format!("{domain}-s").as_str().into(),
            service: "workshop".into(),
            slots_count: 5,
            cold: false,
            draining: false,
            share_permille: FULL_SHARE_PERMILLE,
            ..Default::default()
        };
        let entry = DaemonEntry {
            daemon: format!("{domain}-1").as_str().into(),
            incarnation: 1,
            version: 1,
            domain: domain.into(),
            guard_address: "127.0.0.1:1".parse().unwrap(),
            link_address: "127.0.0.1:2".parse().unwrap(),
            leaving: false,
            servers: vec![server],
        };
        fleet.daemons.insert(entry.daemon.clone(), Arc::new(entry));
    }
    state.handle(OperatorEvent::Fleet(Arc::new(fleet)));
    state
}

/// Returns the actions that follow from an operator's request.
fn ask(state: &mut OperatorState, request: OperatorRequest) -> Vec<OperatorAction> {
    state.handle(OperatorEvent::RequestArrived {
        ticket: 1,
        operator: "ndapewa".to_owned(),
        at_ms: 5,
        request,
    })
}

/// Returns a request that publishes contracts on their current versions.
fn publish(contracts: ContractFile) -> OperatorRequest {
    OperatorRequest::Publish(PublishRequest {
        operation: 9,
        contracts,
        bases: BTreeMap::new(),
    })
}

/// Returns the refusal that the last action answers.
fn refusal(actions: &[OperatorAction]) -> &Refusal {
    match actions.last() {
        Some(OperatorAction::Answer {
            answer: OperatorAnswer::Refused(refusal),
            ..
        }) => refusal,
        other => panic!("a refusal, not {other:?}"),
    }
}

/// Returns the records that the actions submit.
fn submitted(actions: &[OperatorAction]) -> Vec<&Record> {
    let records = actions.iter().filter_map(|action| match action {
        OperatorAction::Submit(record) => Some(&**record),
        _ => None,
    });
    records.collect()
}

#[test]
fn an_invalid_contract_file_is_refused_completely_with_every_invalid_field() {
    // Arrange
    let mut state = state_with_floor(0.5);
    let file = ContractFile {
        services: vec![service(0.5)],
        organisations: vec![organisation(-2.0, "nowhere")],
    };

    // Act
    let actions = ask(&mut state, publish(file));

    // Assert
    let errors: Vec<String> = refusal(&actions)
        .errors
        .iter()
        .map(|e| e.to_string())
        .collect();
    assert_eq!(
        errors,
        [
            "organisation/optician-1.rate_per_s: -2 must be above 0 and at most 10000000",
            "organisation/optician-1.routes: \"nowhere\" is a route of no service",
        ]
    );
    assert!(submitted(&actions).is_empty());
}

#[test]
fn only_changed_objects_are_submitted_and_the_answer_waits_for_their_outcomes() {
    // Arrange
    let mut state = state_with_floor(0.5);
    let file = ContractFile {
        services: vec![service(0.5)],
        organisations: vec![organisation(8.0, "sheets")],
    };

    // Act
    let actions = ask(&mut state, publish(file));
    let record = submitted(&actions)[0].clone();
    let outcome = SubmitOutcome::Accepted { offset: 2 };
    let answers = state.handle(OperatorEvent::ChangeResolved {
        operation: record.operation,
        outcome: outcome.clone(),
    });

    // Assert
    assert_eq!(actions.len(), 1);
    assert_eq!((record.base, record.author.as_str()), (Some(1), "ndapewa"));
    let OperatorAction::Answer {
        answer: OperatorAnswer::Results(results),
        ..
    } = &answers[0]
    else {
        panic!("results, not {answers:?}");
    };
    let outcomes: Vec<_> = results
        .iter()
        .map(|result| result.outcome.clone())
        .collect();
    assert_eq!(outcomes, [None, Some(outcome)]);
}

#[test]
fn a_repeated_request_has_the_same_operations() {
    let object = ObjectId::Organisation("o".into());
    let first = super::publish::object_operation(9, &object);
    assert_eq!(first, super::publish::object_operation(9, &object));
    assert_ne!(first, super::publish::object_operation(10, &object));
}

/// Returns a request that takes domain `north` out of service.
fn domain_out(override_floor: bool) -> OperatorRequest {
    OperatorRequest::DomainOut {
        operation: 3,
        domain: "north".into(),
        override_floor,
    }
}

#[test]
fn a_domain_stays_in_service_when_a_service_would_fall_below_its_floor() {
    // Arrange
    let mut state = state_with_floor(0.9);

    // Act
    let actions = ask(&mut state, domain_out(false));

    // Assert
    assert_eq!(refusal(&actions).kind, ErrorKind::FloorBroken);
    assert!(submitted(&actions).is_empty());
    let OperatorAction::RecordDecision(decision) = &actions[0] else {
        panic!("a decision, not {actions:?}");
    };
    assert_eq!(decision.verdict, "refused");
    let value = "2 of 3 in service, floor 3".to_owned();
    assert_eq!(decision.evidence[1], ("service/workshop".to_owned(), value));
}

#[test]
fn an_override_takes_the_domain_out_of_service_and_is_recorded_in_the_trail() {
    // Arrange
    let mut state = state_with_floor(0.9);

    // Act
    let actions = ask(&mut state, domain_out(true));

    // Assert
    assert_eq!(submitted(&actions).len(), 1);
    assert!(
        matches!(&actions[0], OperatorAction::RecordDecision(decision)
        if decision.verdict == "out-below-floor")
    );
}

#[test]
fn a_domain_is_taken_out_of_service_when_all_services_keep_their_floor() {
    let mut state = state_with_floor(0.5);
    assert_eq!(submitted(&ask(&mut state, domain_out(false))).len(), 1);
}

#[test]
fn a_key_is_granted_only_to_an_organisation_with_a_contract() {
    // Arrange
    let mut state = state_with_floor(0.5);

    // Act
    let actions = ask(
        &mut state,
        OperatorRequest::GrantKey {
            operation: 1,
            organisation: "stranger".into(),
            key_hash: [1; 32],
        },
    );

    // Assert
    assert_eq!(refusal(&actions).kind, ErrorKind::ChangeInvalid);
}

#[test]
fn only_the_token_of_an_operator_authenticates() {
    // Arrange
    let operators = [OperatorEntry {
        name: "ndapewa".to_owned(),
        token_sha256: hex::encode(&hash_key("token-1")),
    }];

    // Act and assert
    assert_eq!(authenticate(&operators, "token-1"), Some("ndapewa"));
    assert_eq!(authenticate(&operators, "token-2"), None);
    assert_eq!(authenticate(&[], "token-1"), None);
}

#[test]
fn the_status_shows_the_current_incarnation_and_not_that_of_the_start() {
    // Arrange
    let mut state = state_with_floor(0.5);

    // Act
    let actions = ask(&mut state, OperatorRequest::Status);

    // Assert
    let Some(OperatorAction::Answer {
        answer: OperatorAnswer::Status(status),
        ..
    }) = actions.last()
    else {
        panic!("a status, not {actions:?}");
    };
    assert_eq!(status.incarnation, 1);
}
