//! A request that waits for its token is decided by the configuration in force when it goes on.

use std::sync::Arc;
use std::time::Instant;

use super::{check_request, raw};
use crate::contract::{Document, OrganisationContract, RouteContract, ServiceContract, View};
use crate::error::ErrorKind;
use crate::front::message::{FrontAction, FrontEvent, RequestHead};
use crate::front::state::FrontState;
use crate::settings::front::FrontSettings;
use crate::types::ServiceId;
use crate::wire::dialect::FleetDialect;
use crate::wire::proof::hash_key;

/// Returns a request to `/x` with the key `k`.
fn head() -> Arc<RequestHead> {
    let raw = raw(&[("Authorization", "Bearer k")]);
    let settings = FrontSettings::default();
    let head = check_request(&settings, &FleetDialect, 1, Instant::now(), &raw);
    Arc::new(head.expect("a proper request"))
}

/// Returns a view in which the route of `/x` leads to a service, and the key `k` belongs to an
/// organisation.
fn view(next: u64, service: &str, organisation: Option<&str>) -> FrontEvent {
    let route = RouteContract {
        route: "x".into(),
        method: "GET".to_owned(),
        path_prefix: "/x".to_owned(),
        ..Default::default()
    };
    let granted = organisation.map(|organisation| OrganisationContract {
        organisation: organisation.into(),
        all_routes: true,
        ..Default::default()
    });
    let document = Document {
        services: vec![ServiceContract {
            service: service.into(),
            routes: vec![route],
            ..Default::default()
        }],
        keys: granted
            .iter()
            .map(|granted| (hash_key("k"), granted.organisation.clone()))
            .collect(),
        organisations: granted.into_iter().collect(),
        ..Default::default()
    };
    FrontEvent::View(Arc::new(View::from_document(
        next,
        &document,
        Default::default(),
    )))
}

/// Lets a request wait for its token, changes the view and grants the token. Returns the action that
/// follows.
fn granted_after(change: FrontEvent) -> FrontAction {
    let now = Instant::now();
    let mut state = FrontState::default();
    state.handle(now, FrontEvent::ViewUsable(true));
    state.handle(now, view(1, "v", Some("o")));
    let arrived = state.handle(now, FrontEvent::Arrived(head()));
    assert!(matches!(arrived[..], [FrontAction::TakeToken { .. }]));
    state.handle(now, change);
    let mut actions = state.handle(now, FrontEvent::TokenGranted { request: 1 });
    actions.pop().expect("an action")
}

#[test]
fn a_key_withdrawn_during_the_wait_for_a_token_is_refused() {
    let refused = FrontAction::Refuse {
        request: 1,
        kind: ErrorKind::KeyUnknown,
        retry_after: None,
    };
    assert_eq!(granted_after(view(2, "v", None)), refused);
}

#[test]
fn a_key_that_changes_hands_during_the_wait_takes_a_token_of_its_new_holder() {
    let taken = FrontAction::TakeToken {
        request: 1,
        organisation: "p".into(),
    };
    assert_eq!(granted_after(view(2, "v", Some("p"))), taken);
}

#[test]
fn a_route_that_changes_during_the_wait_leads_to_its_new_service() {
    let FrontAction::Dispatch(plan) = granted_after(view(2, "w", Some("o"))) else {
        panic!("the request goes on");
    };
    assert_eq!(plan.service, ServiceId::from("w"));
}
