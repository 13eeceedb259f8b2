use std::time::{Duration, Instant};

use super::bucket::Bucket;

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
fn a_refusal_names_when_a_token_is_there() {
    let start = Instant::now();
    let mut bucket = Bucket::empty(start, 2.0, 3.0);
    assert_eq!(bucket.take(start, 1.0), Err(Duration::from_millis(500)));
}
