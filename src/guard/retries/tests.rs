//! Tests of the retry budget that the guards of a service share.

use std::time::{Duration, Instant};

use super::{AttemptKind, RetryWindow};
use crate::settings::guard::GuardSettings;

/// Time over which the budget counts first attempts and repeats.
const WINDOW: Duration = Duration::from_secs(10);

/// Returns an empty budget of a service with this reserve and a share of 0.2.
fn window(reserve_count: u32) -> RetryWindow {
    RetryWindow::new(&GuardSettings {
        retry_window_ms: WINDOW.as_millis() as u64,
        retry_share: 0.2,
        retry_reserve_count: reserve_count,
        ..Default::default()
    })
}

/// Starts repeats as long as they are admitted, and returns their number.
fn repeats(window: &mut RetryWindow, now: Instant, guard_count: usize) -> usize {
    let mut count = 0;
    while count < 1_000 && window.admits(now, guard_count) {
        window.record_start(now, AttemptKind::Repeat);
        count += 1;
    }
    count
}

#[test]
fn guards_share_the_reserve_and_stay_below_it() {
    let now = Instant::now();
    assert_eq!(repeats(&mut window(40), now, 4), 8);
}

#[test]
fn first_attempts_add_their_share() {
    // Arrange
    let now = Instant::now();
    let mut window = window(0);

    // Act
    for _ in 0..100 {
        window.record_start(now, AttemptKind::First);
    }

    // Assert
    assert_eq!(repeats(&mut window, now, 1), 17);
}

#[test]
fn calls_of_repeats_use_the_budget_up() {
    // Arrange
    let now = Instant::now();
    let mut window = window(40);

    // Act
    for _ in 0..30 {
        window.record_start(now, AttemptKind::CallOfRepeat);
    }

    // Assert
    assert_eq!(repeats(&mut window, now, 1), 4);
}

#[test]
fn no_window_exceeds_the_retry_budget() {
    // Arrange
    let begin = Instant::now();
    let mut window = window(20);
    let mut starts = Vec::new();

    // Act
    for step in 0..600 {
        let now = begin + Duration::from_millis(100 * step);
        for _ in 0..repeats(&mut window, now, 1) {
            starts.push(now);
        }
    }

    // Assert
    for first in &starts {
        let within = |at: &&Instant| **at >= *first && **at < *first + WINDOW;
        assert!(starts.iter().filter(within).count() <= 17);
    }
    assert!(starts.len() > 80);
}

#[test]
fn without_a_window_repeats_are_not_limited() {
    let now = Instant::now();
    let mut window = RetryWindow::new(&GuardSettings::default());
    assert_eq!(repeats(&mut window, now, 1), 1_000);
}
