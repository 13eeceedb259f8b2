use std::time::Instant;

use super::{OwnRepeats, CALLS_PER_REPEAT_COUNT, CALL_WINDOW};

#[test]
fn a_few_calls_are_put_down_to_each_repeat() {
    let now = Instant::now();
    let mut repeats = OwnRepeats::default();
    repeats.record_repeat(now);
    let taken = (0..10).filter(|_| repeats.take_call(now)).count();
    assert_eq!(taken, CALLS_PER_REPEAT_COUNT as usize);
}

#[test]
fn a_repeat_of_long_ago_has_made_its_calls() {
    let now = Instant::now();
    let mut repeats = OwnRepeats::default();
    repeats.record_repeat(now);
    assert!(!repeats.take_call(now + CALL_WINDOW));
}
