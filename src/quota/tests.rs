//! Tests of the quota as an entry and as a home.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::message::{Loan, QuotaAction, QuotaEvent};
use super::QuotaState;
use crate::contract::{Document, OrganisationContract, View};
use crate::error::ErrorKind;
use crate::idempotency::home::claim_key;
use crate::idempotency::HomeMap;
use crate::membership::{DaemonEntry, Fleet};
use crate::settings::quota::QuotaSettings;
use crate::types::DaemonId;

/// Daemons of the fleet.
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// Returns a view with organisation `o` and these limits on it.
fn view(rate_per_s: f64, burst_count: u32) -> Arc<View> {
    let document = Document {
        organisations: vec![OrganisationContract {
            organisation: "o".into(),
            rate_per_s,
            burst_count,
            all_routes: true,
            ..Default::default()
        }],
        ..Default::default()
    };
    Arc::new(View::from_document(1, &document, BTreeSet::new()))
}

/// Returns a fleet of these daemons.
fn fleet(names: &[&str]) -> Arc<Fleet> {
    let mut fleet = Fleet::default();
    for name in names {
        let any = "127.0.0.1:1".parse().expect("a literal address");
        let entry = DaemonEntry {
            daemon: (*name).into(),
            incarnation: 1,
            version: 0,
            domain: "north".into(),
            guard_address: any,
            link_address: any,
            leaving: false,
            servers: Vec::new(),
        };
        fleet.daemons.insert((*name).into(), Arc::new(entry));
    }
    Arc::new(fleet)
}

/// Returns the home of organisation `o`.
fn home() -> DaemonId {
    let homes = HomeMap::new(&fleet(&NAMES));
    homes.home(&claim_key("o", "")).expect("a home").clone()
}

/// Returns the state of the daemon `own` in the fleet of `NAMES`.
fn state(own: &str, now: Instant, rate_per_s: f64, burst_count: u32) -> QuotaState {
    let mut state = QuotaState::new(QuotaSettings::default(), own.into());
    state.handle(now, QuotaEvent::Fleet(fleet(&NAMES)));
    state.handle(now, QuotaEvent::View(view(rate_per_s, burst_count)));
    state
}

/// Returns the state of a daemon that is not the home of organisation `o`.
fn entry(now: Instant, rate_per_s: f64, burst_count: u32) -> QuotaState {
    let own = NAMES.iter().find(|name| **name != &*home());
    state(own.expect("another daemon"), now, rate_per_s, burst_count)
}

/// Asks for a token of organisation `o` for a request.
fn take(state: &mut QuotaState, now: Instant, request: u128) -> Vec<QuotaAction> {
    state.handle(
        now,
        QuotaEvent::Take {
            request,
            organisation: "o".into(),
        },
    )
}

/// Returns how many requests get their token.
fn granted_count(actions: &[QuotaAction]) -> usize {
    let granted = |action: &&QuotaAction| matches!(action, QuotaAction::Grant { .. });
    actions.iter().filter(granted).count()
}

#[test]
fn the_home_lends_no_more_than_rate_and_burst_to_all_entries_together() {
    // Arrange
    let begin = Instant::now();
    let mut home = state(&home(), begin, 10.0, 5);
    let mut lent_count = 0;

    // Act
    for step in 0..400 {
        let now = begin + Duration::from_millis(10 * step);
        let borrow = QuotaEvent::Borrow {
            call: step,
            organisation: "o".into(),
            count: 3,
        };
        for action in home.handle(now, borrow) {
            if let QuotaAction::Lend { loan, .. } = action {
                lent_count += loan.count;
            }
        }
    }

    // Assert: a bucket that starts empty yields the rate over four seconds, and no burst on top.
    assert!((38..=40).contains(&lent_count), "{lent_count}");
}

#[test]
fn an_entry_sends_one_borrow_request_for_all_waiting_requests() {
    // Arrange
    let now = Instant::now();
    let mut entry = entry(now, 10.0, 5);

    // Act
    let first = take(&mut entry, now, 1);
    let second = take(&mut entry, now, 2);
    let loan = Some(Loan {
        count: 2,
        retry_after: Duration::ZERO,
    });
    let organisation = "o".into();
    let answered = entry.handle(now, QuotaEvent::Borrowed { organisation, loan });

    // Assert
    assert!(matches!(&first[..], [QuotaAction::Borrow { to, .. }] if *to == home()));
    assert!(second.is_empty());
    assert_eq!(granted_count(&answered), 2);
}

#[test]
fn a_refusal_names_the_wait_that_the_home_reported() {
    // Arrange
    let now = Instant::now();
    let mut entry = entry(now, 10.0, 5);
    take(&mut entry, now, 1);

    // Act
    let retry_after = Duration::from_millis(700);
    let loan = Some(Loan {
        count: 0,
        retry_after,
    });
    let organisation = "o".into();
    let actions = entry.handle(now, QuotaEvent::Borrowed { organisation, loan });

    // Assert
    let kind = ErrorKind::RateExceeded;
    let refused = QuotaAction::Refuse {
        request: 1,
        kind,
        retry_after,
    };
    assert_eq!(actions, vec![refused]);
}

#[test]
fn an_entry_without_its_home_grants_less_than_an_even_share_of_the_rate() {
    // Arrange
    let begin = Instant::now();
    let mut entry = entry(begin, 40.0, 5);
    let mut count = 0;

    // Act
    for step in 0..1_000 {
        let now = begin + Duration::from_millis(10 * step);
        take(&mut entry, now, u128::from(step));
        let organisation = "o".into();
        let unanswered = QuotaEvent::Borrowed {
            organisation,
            loan: None,
        };
        count += granted_count(&entry.handle(now, unanswered));
    }

    // Assert: half of a quarter of the rate over ten seconds.
    assert!((45..=51).contains(&count), "{count}");
}

#[test]
fn an_organisation_without_limits_needs_no_token() {
    // Arrange
    let now = Instant::now();
    let mut entry = QuotaState::new(QuotaSettings::default(), "a".into());

    // Act
    let actions = take(&mut entry, now, 1);

    // Assert
    assert_eq!(actions, vec![QuotaAction::Grant { request: 1 }]);
}

#[test]
fn a_request_waits_for_a_silent_home_only_for_the_patience_of_the_settings() {
    // Arrange
    let now = Instant::now();
    let mut entry = entry(now, 0.001, 1);
    let unanswered = || QuotaEvent::Borrowed {
        organisation: "o".into(),
        loan: None,
    };
    let patience = Duration::from_millis(QuotaSettings::default().home_patience_ms);
    take(&mut entry, now, 1);
    entry.handle(now, unanswered());
    take(&mut entry, now, 2);

    // Act
    let early = entry.handle(now, unanswered());
    let retry_at = entry.next_tick_at().expect("the home is asked again");
    let again = entry.handle(retry_at, QuotaEvent::Tick);
    let late = entry.handle(now + patience, unanswered());

    // Assert
    assert!(matches!(&early[..], [QuotaAction::Count(_)]));
    assert!(matches!(&again[..], [QuotaAction::Borrow { .. }]));
    let refused = |action: &QuotaAction| matches!(action, QuotaAction::Refuse { request: 2, .. });
    assert!(late.iter().any(refused));
}

#[test]
fn a_daemon_that_is_not_the_home_declines_to_lend() {
    let now = Instant::now();
    let mut entry = entry(now, 10.0, 5);
    let borrow = QuotaEvent::Borrow {
        call: 7,
        organisation: "o".into(),
        count: 1,
    };
    assert_eq!(
        entry.handle(now, borrow),
        vec![QuotaAction::Decline { call: 7 }]
    );
}

#[test]
fn a_request_for_too_many_tokens_is_lent_only_what_the_bucket_holds() {
    // Arrange
    let begin = Instant::now();
    let mut home = state(&home(), begin, 10.0, 5);

    // Act
    let borrow = QuotaEvent::Borrow {
        call: 1,
        organisation: "o".into(),
        count: u32::MAX,
    };
    let actions = home.handle(begin + Duration::from_millis(350), borrow);

    // Assert
    let [QuotaAction::Lend { loan, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(loan.count, 3);
}
