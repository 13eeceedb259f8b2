use std::time::{Duration, Instant};

use super::bucket::Bucket;

mod ledger;
mod network;
mod partitions;
mod permits;
mod refusal;

#[test]
fn a_bucket_gives_its_burst_and_then_its_rate() {
    // Arrange
    let start = Instant::now();
    let mut bucket = Bucket::full(start, 2.0, 3.0);

    // Act
    let burst = (0..4).filter(|_| bucket.take(start, 1.0).is_ok()).count();
    let later = bucket.take(start + Duration::from_millis(500), 1.0);

    // Assert
    assert_eq!(burst, 3);
    assert_eq!(later, Ok(()));
}

#[test]
fn a_refused_take_returns_the_time_until_a_token() {
    let start = Instant::now();
    let mut bucket = Bucket::empty(start, 2.0, 3.0);
    assert_eq!(bucket.take(start, 1.0), Err(Duration::from_millis(500)));
}

#[test]
fn lent_and_available_tokens_never_exceed_the_burst() {
    // Arrange
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut bucket = Bucket::full(start, 100.0, 10.0);

    // Act
    let lent = bucket.lend(start, 8, start + second);
    let before = (0..20).filter(|_| {
        bucket
            .take(start + second - Duration::from_millis(1), 1.0)
            .is_ok()
    });
    let before = before.count();
    let after = (0..20).filter(|_| bucket.take(start + second * 2, 1.0).is_ok());
    let after = after.count();

    // Assert
    assert_eq!((lent, before, after), (8, 2, 10));
}

#[test]
fn loans_lapse_while_new_ones_are_made() {
    // Arrange
    let start = Instant::now();
    let lifetime = Duration::from_millis(250);
    let step = Duration::from_millis(10);
    let mut bucket = Bucket::full(start, 100.0, 100.0);

    // Act
    let lent = (0..1000).map(|turn| {
        let now = start + step * turn;
        bucket.lend(now, 1, now + lifetime)
    });
    let lent: u32 = lent.sum();

    // Assert
    assert_eq!(lent, 1000);
}
