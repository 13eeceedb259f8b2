//! Tests of the view: records, keys, routes and shard counts.

mod invalid;

use super::state::RouteLookup;
use super::*;
use crate::types::Offset;

/// Returns a record of a change with this base.
fn record(operation: u128, base: Option<Offset>, change: Change) -> Record {
    Record {
        operation,
        base,
        author: "test".to_owned(),
        at_ms: 0,
        change,
    }
}

/// Returns the change that sets the rate of organisation `o`.
fn publish(rate_per_s: f64) -> Change {
    let contract = OrganisationContract {
        organisation: "o".into(),
        rate_per_s,
        ..Default::default()
    };
    Change::PublishOrganisation { contract }
}

#[test]
fn the_first_of_two_records_with_the_same_base_is_accepted() {
    // Arrange
    let mut view = View::default();

    // Act
    let first = view.apply(0, &record(1, None, publish(1.0)));
    let second = view.apply(1, &record(2, None, publish(2.0)));

    // Assert
    assert_eq!(
        (first, second),
        (ChangeVerdict::Accepted, ChangeVerdict::StaleBase)
    );
    assert_eq!(view.organisations["o"].rate_per_s, 1.0);
}

#[test]
fn an_operation_appended_twice_is_applied_once() {
    let mut view = View::default();
    view.apply(0, &record(1, None, publish(1.0)));
    assert_eq!(
        view.apply(1, &record(1, Some(0), publish(2.0))),
        ChangeVerdict::Repeated
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
    assert_eq!(view.key(&key_hash), KeyLookup::Withdrawn);
}

#[test]
fn an_invalid_contract_is_refused_as_a_whole_and_every_invalid_field_is_named() {
    // Arrange
    let mut view = View::default();
    let contract = OrganisationContract {
        organisation: "o".into(),
        rate_per_s: -1.0,
        burst_count: 0,
        ..Default::default()
    };
    let change = Change::PublishOrganisation { contract };

    // Act
    let errors: Vec<String> = check_change(&change)
        .iter()
        .map(ContractError::to_string)
        .collect();
    let verdict = view.apply(0, &record(1, None, change));

    // Assert
    assert_eq!(
        errors,
        [
            "organisation/o.rate_per_s: -1 must be above 0 and at most 10000000",
            "organisation/o.burst_count: 0 must be from 1 to 100000000",
        ]
    );
    assert_eq!(verdict, ChangeVerdict::Invalid);
    assert!(view.organisations.is_empty());
}

#[test]
fn the_second_of_two_racing_operators_who_take_out_different_domains_is_refused() {
    // Arrange
    let mut view = View::default();
    let out = |domain: &str| Change::DomainOut {
        domain: domain.into(),
        override_floor: false,
    };

    // Act
    let first = view.apply(0, &record(1, None, out("north")));
    let second = view.apply(1, &record(2, None, out("south")));

    // Assert
    assert_eq!(
        (first, second),
        (ChangeVerdict::Accepted, ChangeVerdict::StaleBase)
    );
    assert_eq!(view.domains_out.len(), 1);
}

#[test]
fn the_view_keeps_the_offset_at_which_a_domain_returned_to_service() {
    // Arrange
    let mut view = View::default();
    let domain: crate::types::DomainId = "north".into();
    let out = Change::DomainOut {
        domain: domain.clone(),
        override_floor: false,
    };
    let back = Change::DomainIn {
        domain: domain.clone(),
    };

    // Act
    view.apply(0, &record(1, None, out));
    view.apply(1, &record(2, Some(0), back));

    // Assert
    assert!(view.domains_out.is_empty());
    assert_eq!(view.domains_back[&domain], 1);
}

#[test]
fn a_withdrawal_is_accepted_on_any_base_and_before_the_grant() {
    // Arrange
    let mut view = View::default();
    let key_hash = [9; 32];
    let grant = Change::GrantKey {
        organisation: "o".into(),
        key_hash,
    };

    // Act
    view.apply(0, &record(1, Some(77), Change::WithdrawKey { key_hash }));
    let late_grant = view.apply(1, &record(2, None, grant));

    // Assert
    assert_eq!(late_grant, ChangeVerdict::StaleBase);
    assert_eq!(view.key(&key_hash), KeyLookup::Withdrawn);
}

#[test]
fn a_key_withdrawn_without_the_log_stays_withdrawn_when_the_log_grants_it() {
    // Arrange
    let mut view = View::default();
    let key_hash = [9; 32];
    view.add_tombstone(key_hash);

    // Act
    let change = Change::GrantKey {
        organisation: "o".into(),
        key_hash,
    };
    view.apply(0, &record(1, None, change));

    // Assert
    assert_eq!(view.key(&key_hash), KeyLookup::Withdrawn);
}

#[test]
fn a_repetition_of_a_forgotten_operation_has_no_effect() {
    // Arrange
    let mut view = View::default();
    view.apply(0, &record(0, None, publish(1.0)));
    for offset in 1..=(state::OPERATION_LIMIT_COUNT as u64 + 1) {
        view.apply(
            offset,
            &record(u128::from(offset), Some(offset - 1), publish(2.0)),
        );
    }

    // Act
    let verdict = view.apply(9_999, &record(0, None, publish(1.0)));

    // Assert
    assert_eq!(verdict, ChangeVerdict::StaleBase);
    assert_eq!(view.organisations["o"].rate_per_s, 2.0);
}

/// Returns the change that publishes a service with these methods and path prefixes.
fn service(service: &str, routes: &[(&str, &str)]) -> Change {
    let route = |(method, path_prefix): &(&str, &str)| RouteContract {
        route: format!("{method}{}", path_prefix.replace('/', "."))
            .as_str()
            .into(),
        method: (*method).to_owned(),
        path_prefix: (*path_prefix).to_owned(),
        ..Default::default()
    };
    let contract = ServiceContract {
        service: service.into(),
        routes: routes.iter().map(route).collect(),
        ..Default::default()
    };
    Change::PublishService { contract }
}

/// Returns the service and prefix of the route that is found, or why none is.
fn found(view: &View, method: &str, path: &str) -> String {
    match view.route("", method, path) {
        RouteLookup::Found(service, route) => format!("{} {}", service.service, route.path_prefix),
        RouteLookup::OtherMethod => "other method".to_owned(),
        RouteLookup::Unknown => "unknown".to_owned(),
    }
}

#[test]
fn the_longest_prefix_that_matches_the_method_is_found() {
    // Arrange
    let mut view = View::default();
    let wide = service("wide", &[("GET", "/"), ("POST", "/orders")]);
    view.apply(0, &record(1, None, wide));
    view.apply(
        1,
        &record(2, None, service("deep", &[("GET", "/orders/new")])),
    );

    // Act and assert
    assert_eq!(found(&view, "GET", "/orders/new/7"), "deep /orders/new");
    assert_eq!(found(&view, "POST", "/orders/new/7"), "wide /orders");
    assert_eq!(found(&view, "GET", "/orders"), "wide /");
    assert_eq!(found(&view, "PUT", "/orders"), "other method");
    assert_eq!(found(&view, "PUT", "other"), "unknown");
}

#[test]
fn routes_of_a_replaced_contract_are_removed() {
    // Arrange
    let mut view = View::default();
    view.apply(
        0,
        &record(1, None, service("s", &[("GET", "/a"), ("GET", "/b")])),
    );

    // Act
    view.apply(1, &record(2, Some(0), service("s", &[("GET", "/b")])));

    // Assert
    assert_eq!(found(&view, "GET", "/a"), "unknown");
    assert_eq!(found(&view, "GET", "/b"), "s /b");
}

#[test]
fn an_organisation_keeps_its_shard_count_when_its_burst_changes() {
    // Arrange
    let burst = |burst_count| {
        let contract = OrganisationContract {
            organisation: "o".into(),
            burst_count,
            ..Default::default()
        };
        Change::PublishOrganisation { contract }
    };
    let mut view = View::default();
    view.apply(0, &record(1, None, burst(100)));
    let before = view.shard_count(&view.organisations["o"]);

    // Act
    view.apply(1, &record(2, Some(0), burst(1)));
    let small = view.shard_count(&view.organisations["o"]);
    view.apply(2, &record(3, Some(1), burst(50)));
    let large = view.shard_count(&view.organisations["o"]);

    // Assert
    assert_eq!((before, small, large), (3, 3, 3));
    assert!(view.shard_counts.is_empty());
}
