//! Tests of timeouts that are shorter than requests of the route typically take.

use std::time::{Duration, Instant};

use super::{announcement, id, refusal_of, request, INCARNATION};
use crate::error::ErrorKind;
use crate::guard::message::{GuardEvent, ServerOutcome};
use crate::guard::state::GuardState;
use crate::settings::guard::GuardSettings;
use crate::wire::client::CallError;

/// Time that the server takes for a request.
const TYPICAL_TIME: Duration = Duration::from_millis(800);

/// Runs a request that ends with this outcome after this time.
pub(super) fn run(
    state: &mut GuardState,
    now: Instant,
    number: u128,
    outcome: ServerOutcome,
    time: Duration,
) {
    state.handle(now, GuardEvent::Arrived(request(number, now)));
    let finished = GuardEvent::Finished {
        key: (id(1, number), 1),
        outcome,
        elapsed: time,
    };
    state.handle(now, finished);
}

#[test]
fn a_timeout_shorter_than_the_typical_time_does_not_open_the_breaker() {
    for (time, tripped) in [(TYPICAL_TIME, false), (TYPICAL_TIME * 3, true)] {
        // Arrange
        let now = Instant::now();
        let settings = GuardSettings {
            breaker_open_ms: 350,
            ..Default::default()
        };
        let mut state = GuardState::new(settings, INCARNATION);
        state.handle(now, GuardEvent::Announced(announcement()));
        for number in 1..=10 {
            run(
                &mut state,
                now,
                number,
                ServerOutcome::Answered(200),
                TYPICAL_TIME,
            );
        }

        // Act
        for number in 11..=12 {
            let late = ServerOutcome::Failed(CallError::Late);
            run(&mut state, now, number, late, time);
        }
        let next = state.handle(now, GuardEvent::Arrived(request(13, now)));

        // Assert
        let expected = tripped.then_some(ErrorKind::ServerTripped);
        assert_eq!(refusal_of(&next, 13), expected, "{time:?}");
    }
}
