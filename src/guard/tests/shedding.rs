//! Tests of which request a full queue sheds.

use std::time::Instant;

use super::{announcement, refusal_of, request, INCARNATION};
use crate::error::ErrorKind;
use crate::guard::message::{GuardEvent, GuardRequest};
use crate::guard::state::GuardState;
use crate::settings::guard::GuardSettings;

#[test]
fn a_full_queue_sheds_the_least_urgent_request_before_the_largest_share() {
    // Arrange: one organisation holds more, and is more urgent.
    let now = Instant::now();
    let settings = GuardSettings {
        queue_count: 3,
        ..Default::default()
    };
    let mut state = GuardState::new(settings, INCARNATION);
    state.handle(now, GuardEvent::Announced(announcement()));
    let less_urgent = GuardRequest {
        organisation: "other".into(),
        rank: 1,
        ..request(2, now)
    };
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Arrived(less_urgent));
    for number in 3..=4 {
        state.handle(now, GuardEvent::Arrived(request(number, now)));
    }

    // Act
    let actions = state.handle(now, GuardEvent::Arrived(request(5, now)));

    // Assert
    assert_eq!(refusal_of(&actions, 2), Some(ErrorKind::Busy));
    assert_eq!(refusal_of(&actions, 5), None);
}
