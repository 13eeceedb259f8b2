//! Tests of the attribution of calls to repeats.

use std::time::Instant;

use super::{OwnRepeats, CALLS_PER_REPEAT_COUNT, CALL_WINDOW};

#[test]
fn a_limited_number_of_calls_is_attributed_to_each_repeat() {
    let now = Instant::now();
    let mut repeats = OwnRepeats::default();
    repeats.record_repeat(now);
    let taken = (0..10).filter(|_| repeats.take_call(now)).count();
    assert_eq!(taken, CALLS_PER_REPEAT_COUNT as usize);
}

#[test]
fn no_call_is_attributed_to_a_repeat_after_its_window() {
    let now = Instant::now();
    let mut repeats = OwnRepeats::default();
    repeats.record_repeat(now);
    assert!(!repeats.take_call(now + CALL_WINDOW));
}
