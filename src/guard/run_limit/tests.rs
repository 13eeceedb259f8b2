use std::time::Duration;

use super::{first_run_limit, run_limit};

/// Mean time of the route in most tests.
const MEAN: Duration = Duration::from_millis(60);

#[test]
fn a_run_is_ended_after_four_mean_times() {
    let left = Duration::from_millis(800);
    assert_eq!(run_limit(MEAN, left), Some(MEAN * 4));
}

#[test]
fn a_run_is_ended_sooner_if_another_would_not_fit_before_the_deadline() {
    let left = Duration::from_millis(350);
    assert_eq!(run_limit(MEAN, left), Some(left - MEAN * 2));
}

#[test]
fn a_run_is_not_ended_if_there_is_no_time_for_another() {
    assert_eq!(run_limit(MEAN, MEAN * 4), None);
    assert_eq!(run_limit(MEAN, Duration::ZERO), None);
}

#[test]
fn a_short_mean_does_not_end_a_run_that_was_only_paused() {
    let mean = Duration::from_millis(1);
    let left = Duration::from_secs(1);
    assert_eq!(run_limit(mean, left), Some(Duration::from_millis(100)));
}

#[test]
fn without_a_mean_a_run_is_ended_at_half_of_its_time_unless_that_is_too_early() {
    let left = Duration::from_millis(800);
    let target = Duration::from_millis(250);
    assert_eq!(first_run_limit(target, left), Some(left / 2));
    assert_eq!(first_run_limit(target, target), None);
}
