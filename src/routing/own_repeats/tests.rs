use std::time::Instant;

use super::{OwnRepeats, CALLS_PER_REPEAT_COUNT, MEMORY};

#[test]
fn a_few_calls_are_put_down_to_each_repeat() {
    let now = Instant::now();
    let mut repeats = OwnRepeats::default();
    repeats.add(now);
    let taken = (0..10).filter(|_| repeats.take(now)).count();
    assert_eq!(taken, CALLS_PER_REPEAT_COUNT as usize);
}

#[test]
fn a_repeat_of_long_ago_has_made_its_calls() {
    let now = Instant::now();
    let mut repeats = OwnRepeats::default();
    repeats.add(now);
    assert!(!repeats.take(now + MEMORY));
}
