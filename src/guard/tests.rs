//! Tests of the guard's decisions, and helpers that several of them use.

mod announce;
mod brief_wait;
mod contradiction;
mod deaths;
mod disconnects;
mod hung_runs;
mod incarnations;
mod invalid;
mod late_announcements;
mod local_servers;
mod overdue;
mod rollout;
mod servers;
mod shedding;
mod suspected_cold;
mod view_report;
mod warm_rate;

use std::time::{Duration, Instant};

use super::message::{Announcement, GuardAction, GuardEvent, GuardRequest, ServerOutcome};
use super::started::StartedRecord;
use super::state::GuardState;
use crate::error::ErrorKind;
use crate::link::{FenceAnswer, FenceRequest};
use crate::settings::guard::GuardSettings;
use crate::types::RequestId;
use crate::wire::forward::{AttemptTerms, ForwardHead};

/// Incarnation of the guard's daemon and of the requests to it.
const INCARNATION: u64 = 7;

/// Returns a request id that was issued at this millisecond.
fn id(made_ms: u64, number: u128) -> RequestId {
    (u128::from(made_ms) << 80) | number
}

/// Returns attempt 1 at a request to server `s`, with a deadline in one second.
fn request(number: u128, now: Instant) -> GuardRequest {
    GuardRequest {
        request: id(1, number),
        attempt: 1,
        incarnation: INCARNATION,
        organisation: "o".into(),
        weight_share: 1,
        service: "v".into(),
        route: "r".into(),
        server: "s".into(),
        repeatable: false,
        foreground: true,
        rank: 0,
        terms: AttemptTerms {
            may_probe: true,
            ..Default::default()
        },
        fingerprint: [number as u8; 32],
        arrived_at: now,
        deadline_at: now + Duration::from_secs(1),
        hung_after: None,
    }
}

/// Returns the head of attempt 1 at a repeatable request to server `s`, with ten seconds left.
fn forward_head() -> ForwardHead {
    ForwardHead {
        request: id(1, 1),
        attempt: 1,
        organisation: "o".into(),
        service: "".into(),
        route: "r".into(),
        server: "s".into(),
        weight_share: 1,
        repeatable: true,
        foreground: true,
        origin: "".into(),
        rank: 0,
        terms: Default::default(),
        entry: "e".into(),
        view: 0,
        era: 0,
        incarnation: INCARNATION,
        fingerprint: [0; 32],
        remaining: Duration::from_secs(10),
        hung_after: None,
    }
}

/// Returns an announcement of server `s` with one slot.
fn announcement() -> Announcement {
    Announcement {
        server: "s".into(),
        service: "v".into(),
        slots_count: 1,
        ..Default::default()
    }
}

/// Returns a guard that knows server `s` with one slot and lets one request wait.
fn guard_with_one_slot(now: Instant) -> GuardState {
    let settings = GuardSettings {
        queue_count: 1,
        ..Default::default()
    };
    let mut state = GuardState::new(settings, INCARNATION);
    state.handle(now, GuardEvent::Announced(announcement()));
    state
}

/// Returns the end of attempt 1 at a request, after 1 ms.
fn finished(number: u128, outcome: ServerOutcome) -> GuardEvent {
    GuardEvent::Finished {
        key: (id(1, number), 1),
        outcome,
        elapsed: Duration::from_millis(1),
    }
}

/// Returns a fence of the attempts at a request up to this one.
fn fence(number: u128, attempt: u32) -> GuardEvent {
    GuardEvent::Fence(FenceRequest {
        request: id(1, number),
        attempt,
        incarnation: INCARNATION,
    })
}

/// Returns the error with which a request is refused, if it is.
fn refusal_of(actions: &[GuardAction], number: u128) -> Option<ErrorKind> {
    actions.iter().find_map(|action| match action {
        GuardAction::Refuse { key, kind, .. } if key.0 == id(1, number) => Some(*kind),
        _ => None,
    })
}

/// Returns whether a request starts.
fn starts(actions: &[GuardAction], number: u128) -> bool {
    let wanted = id(1, number);
    actions
        .iter()
        .any(|action| matches!(action, GuardAction::Start { key, .. } if key.0 == wanted))
}

#[test]
fn the_next_request_starts_when_a_slot_is_free() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    let waiting = state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Act
    let actions = state.handle(now, finished(1, ServerOutcome::Answered(200)));

    // Assert
    assert!(waiting.is_empty());
    assert!(starts(&actions, 2));
}

#[test]
fn a_full_queue_refuses_as_busy() {
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Arrived(request(2, now)));
    let actions = state.handle(now, GuardEvent::Arrived(request(3, now)));
    assert_eq!(refusal_of(&actions, 3), Some(ErrorKind::Busy));
}

#[test]
fn a_full_queue_sheds_the_newest_request_of_the_organisation_over_its_share() {
    // Arrange
    let now = Instant::now();
    let settings = GuardSettings {
        queue_count: 2,
        ..Default::default()
    };
    let mut state = GuardState::new(settings, INCARNATION);
    state.handle(now, GuardEvent::Announced(announcement()));
    for number in 1..=3 {
        state.handle(now, GuardEvent::Arrived(request(number, now)));
    }

    // Act
    let small = GuardRequest {
        organisation: "small".into(),
        ..request(4, now)
    };
    let actions = state.handle(now, GuardEvent::Arrived(small));

    // Assert
    assert_eq!(refusal_of(&actions, 3), Some(ErrorKind::Busy));
    assert_eq!(refusal_of(&actions, 4), None);
}

#[test]
fn a_request_that_would_wait_past_its_deadline_is_refused_at_once() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    for number in 1..=10 {
        state.handle(now, GuardEvent::Arrived(request(number, now)));
        let event = GuardEvent::Finished {
            key: (id(1, number), 1),
            outcome: ServerOutcome::Answered(200),
            elapsed: Duration::from_millis(600),
        };
        state.handle(now, event);
    }
    state.handle(now, GuardEvent::Arrived(request(11, now)));

    // Act
    let actions = state.handle(now, GuardEvent::Arrived(request(12, now)));

    // Assert
    assert_eq!(
        refusal_of(&actions, 12),
        Some(ErrorKind::DeadlineUnmeetable)
    );
}

#[test]
fn an_expired_announcement_removes_the_server_and_refuses_waiting_requests() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    let later = now + Duration::from_secs(2);
    let long = GuardRequest {
        deadline_at: now + Duration::from_secs(60),
        ..request(2, now)
    };
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Arrived(long));

    // Act
    let actions = state.handle(later, GuardEvent::Tick);
    let after = state.handle(later, GuardEvent::Arrived(request(3, later)));

    // Assert
    assert_eq!(refusal_of(&actions, 2), Some(ErrorKind::NoServer));
    assert!(actions.contains(&GuardAction::ReportServers(Vec::new())));
    assert_eq!(refusal_of(&after, 3), Some(ErrorKind::NoServer));
}

#[test]
fn a_draining_guard_refuses_waiting_requests_and_ends_after_the_running_ones() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Act
    let draining = state.handle(now, GuardEvent::Drain);
    let busy = state.handle(now + Duration::from_secs(1), GuardEvent::Tick);
    let ended = state.handle(
        now + Duration::from_secs(1),
        finished(1, ServerOutcome::Answered(200)),
    );

    // Assert
    assert_eq!(refusal_of(&draining, 2), Some(ErrorKind::Stopping));
    assert!(!draining.contains(&GuardAction::Drained));
    assert!(!busy.contains(&GuardAction::Drained));
    assert!(ended.contains(&GuardAction::Drained));
}

#[test]
fn a_domain_out_of_service_gets_no_work_and_is_cold_on_return() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);

    // Act
    state.handle(now, GuardEvent::Domain { out: true });
    let refused = state.handle(now, GuardEvent::Arrived(request(1, now)));
    let back = state.handle(now, GuardEvent::Domain { out: false });

    // Assert
    assert_eq!(refusal_of(&refused, 1), Some(ErrorKind::NoServer));
    let cold =
        |action: &GuardAction| matches!(action, GuardAction::ReportServers(found) if found[0].cold);
    assert!(back.iter().any(cold));
}

#[test]
fn an_attempt_never_starts_twice() {
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, finished(1, ServerOutcome::Answered(200)));
    let again = state.handle(now, GuardEvent::Arrived(request(1, now)));
    assert!(!starts(&again, 1));
    assert_eq!(refusal_of(&again, 1), Some(ErrorKind::OutcomeUnknown));
}

#[test]
fn a_fence_reports_the_state_of_the_request() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Act
    let running = state.handle(now, fence(1, 1));
    let waiting = state.handle(now, fence(2, 1));
    let unseen = state.handle(now, fence(3, 1));
    let late = state.handle(now, GuardEvent::Arrived(request(3, now)));
    state.handle(now, finished(1, ServerOutcome::Answered(200)));
    let ended = state.handle(now, fence(1, 1));

    // Assert
    let answer = |answer| GuardAction::FenceAnswered(answer);
    assert!(running.contains(&answer(FenceAnswer::Running)));
    assert!(waiting.contains(&answer(FenceAnswer::Fenced)));
    assert_eq!(refusal_of(&waiting, 2), Some(ErrorKind::Fenced));
    assert!(unseen.contains(&answer(FenceAnswer::Fenced)));
    assert_eq!(refusal_of(&late, 3), Some(ErrorKind::Fenced));
    assert!(ended.contains(&answer(FenceAnswer::Ended)));
}

#[test]
fn a_fence_or_request_for_another_incarnation_is_refused() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    let stale = GuardRequest {
        incarnation: INCARNATION - 1,
        ..request(1, now)
    };
    let fence = FenceRequest {
        request: id(1, 1),
        attempt: 1,
        incarnation: INCARNATION - 1,
    };

    // Act
    let arrived = state.handle(now, GuardEvent::Arrived(stale));
    let fenced = state.handle(now, GuardEvent::Fence(fence));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), Some(ErrorKind::NoServer));
    assert!(fenced.contains(&GuardAction::FenceAnswered(FenceAnswer::Unknown)));
}

#[test]
fn a_forgotten_request_is_neither_started_nor_reported_as_fenced() {
    // Arrange
    let now = Instant::now();
    let mut record = StartedRecord::new(Duration::from_secs(10), 100);
    let key = (id(5, 1), 1);
    record.admit(key, false).unwrap();
    record.record_start(key);
    record.record_end(now, key);

    // Act
    record.forget_expired(now + Duration::from_secs(10));

    // Assert
    assert!(record.is_empty());
    assert_eq!(record.admit(key, false), Err(ErrorKind::OutcomeUnknown));
    assert_eq!(record.fence(now, id(5, 1), 1), FenceAnswer::Unknown);
    assert_eq!(record.fence(now, id(6, 1), 1), FenceAnswer::Fenced);
}

#[test]
fn a_request_is_cancelled_when_its_caller_leaves() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Act
    let waiting = state.handle(now, GuardEvent::Cancel(id(1, 2)));
    let running = state.handle(now, GuardEvent::Cancel(id(1, 1)));

    // Assert
    assert_eq!(refusal_of(&waiting, 2), Some(ErrorKind::Cancelled));
    let address = announcement().address;
    let cancelled = GuardAction::CancelServer {
        key: (id(1, 1), 1),
        address,
        repeatable: false,
    };
    assert_eq!(running, vec![cancelled]);
}
