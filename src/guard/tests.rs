use std::time::{Duration, Instant};

use super::message::{Announcement, GuardAction, GuardEvent, GuardRequest, ServerOutcome};
use super::state::GuardState;
use crate::error::ErrorKind;
use crate::settings::guard::GuardSettings;

fn request(id: u128, now: Instant) -> GuardRequest {
    GuardRequest {
        request: id,
        organisation: "o".into(),
        weight_share: 1,
        route: "r".into(),
        server: "s".into(),
        repeatable: true,
        deadline_at: now + Duration::from_secs(1),
    }
}

fn guard_with_one_slot(now: Instant) -> GuardState {
    let mut state = GuardState::new(GuardSettings {
        queue_count: 1,
        ..Default::default()
    });
    let announcement = Announcement {
        server: "s".into(),
        slots_count: 1,
        ..Default::default()
    };
    state.handle(now, GuardEvent::Announced(announcement));
    state
}

#[test]
fn the_next_request_starts_when_a_slot_is_free() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    let waiting = state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Act
    let outcome = ServerOutcome::Answered(200);
    let elapsed = Duration::from_millis(1);
    let actions = state.handle(
        now,
        GuardEvent::Finished {
            request: 1,
            outcome,
            elapsed,
        },
    );

    // Assert
    assert!(waiting.is_empty());
    assert!(matches!(
        actions[..],
        [GuardAction::Start { request: 2, .. }]
    ));
}

#[test]
fn a_full_queue_refuses_as_busy() {
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Arrived(request(2, now)));
    let actions = state.handle(now, GuardEvent::Arrived(request(3, now)));
    assert_eq!(
        actions,
        vec![GuardAction::Refuse {
            request: 3,
            kind: ErrorKind::Busy
        }]
    );
}

#[test]
fn a_lapsed_announcement_takes_the_server_out() {
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    let actions = state.handle(now + Duration::from_secs(60), GuardEvent::Tick);
    assert_eq!(actions, vec![GuardAction::Servers(Vec::new())]);
}
