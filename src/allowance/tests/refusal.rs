use std::sync::Arc;
use std::time::{Duration, Instant};

use super::super::message::{AllowanceAction, AllowanceEvent};
use super::super::partition::{Candidate, PARTITION_COUNT};
use super::super::record::EscrowRecord;
use super::super::state::{AllowanceOptions, AllowanceState};
use crate::contract::{OrganisationContract, View};
use crate::error::ErrorKind;
use crate::link::PeerName;
use crate::settings::allowance::AllowanceSettings;

fn peer(name: &str) -> PeerName {
    PeerName {
        daemon: name.into(),
        incarnation: 1,
    }
}

/// Returns the outcomes of two requests of an organisation with a burst of 1, if `holder` holds
/// every partition: a refusal's kind, or `None` for a grant.
fn outcomes(holder: &str) -> Vec<Option<ErrorKind>> {
    let now = Instant::now();
    let own = Candidate {
        name: peer("own"),
        domain: "north".into(),
    };
    let options = AllowanceOptions::new(own, AllowanceSettings::default());
    let mut state = AllowanceState::new(options);
    let mut view = View::default();
    let contract = OrganisationContract {
        organisation: "o".into(),
        ..Default::default()
    };
    view.organisations.insert("o".into(), Arc::new(contract));
    state.handle(now, AllowanceEvent::View(Arc::new(view)));
    let claim = EscrowRecord::Claim {
        holder: peer(holder),
        grantor: None,
        partitions: (0..PARTITION_COUNT).collect(),
    };
    let read = AllowanceEvent::Read {
        asked_at: now,
        records: vec![(0, Some(claim))],
        whole: true,
    };
    state.handle(now, read);
    let mut outcomes = Vec::new();
    for request in [1, 2] {
        let organisation = "o".into();
        let take = AllowanceEvent::Take {
            request,
            organisation,
        };
        let mut actions: Vec<AllowanceAction> = state.handle(now, take);
        actions.extend(state.handle(now + Duration::from_millis(900), AllowanceEvent::Tick));
        for action in actions {
            match action {
                AllowanceAction::Refuse { kind, .. } => outcomes.push(Some(kind)),
                AllowanceAction::Grant { .. } => outcomes.push(None),
                _ => {}
            }
        }
    }
    outcomes
}

#[test]
fn rate_exceeded_is_reported_if_every_shard_was_asked() {
    assert_eq!(outcomes("own"), vec![None, Some(ErrorKind::RateExceeded)]);
}

#[test]
fn unreachable_is_reported_if_a_holder_does_not_answer() {
    let outcomes = outcomes("another");
    assert_eq!(outcomes[0], Some(ErrorKind::AllowanceUnreachable));
}
