//! Tests of the limit on starts within a second.

use std::time::{Duration, Instant};

use super::StartRate;

#[test]
fn no_second_exceeds_the_start_limit() {
    // Arrange
    let begin = Instant::now();
    let mut rate = StartRate::default();
    let mut starts = Vec::new();

    // Act
    for step in 0..400 {
        let now = begin + Duration::from_millis(step * 10);
        if rate.admits(now, 7) {
            rate.record_start(now);
            starts.push(now);
        }
    }

    // Assert
    assert_eq!(starts.len(), 28);
    for window in starts.windows(8) {
        assert!(window[7] - window[0] >= Duration::from_secs(1));
    }
}

#[test]
fn a_lowered_limit_counts_earlier_starts() {
    // Arrange
    let now = Instant::now();
    let mut rate = StartRate::default();
    for _ in 0..5 {
        rate.record_start(now);
    }

    // Act and assert
    assert!(!rate.admits(now + Duration::from_millis(900), 2));
    assert!(rate.admits(now + Duration::from_secs(1), 2));
}
