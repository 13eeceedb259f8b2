//! Reads of a feed over a return of the store from a copy.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::feed::era::{EraFeed, EraWatch};
use crate::feed::{Feed, FeedError, FeedPosition, Page};
use crate::types::Offset;

/// A store whose answers tell the era in it.
struct Store(Arc<AtomicU64>);

impl Store {
    /// Returns a page that ends at an offset.
    fn page(&self, next: Offset) -> Result<Page<u32>, FeedError> {
        Ok(Page {
            items: Vec::new(),
            next,
            era: self.0.load(Ordering::Relaxed),
        })
    }
}

impl Feed<u32> for Store {
    fn newest(&mut self) -> Result<Page<u32>, FeedError> {
        self.page(1)
    }

    fn follow(&mut self, from: Offset, _: Duration) -> Result<Page<u32>, FeedError> {
        self.page(from)
    }
}

#[test]
fn an_offset_that_is_given_out_again_leads_back_to_the_newest_items() {
    // Arrange
    let era = Arc::new(AtomicU64::new(1));
    let watch = Arc::new(EraWatch::default());
    let mut feed = EraFeed::new(Box::new(Store(era.clone())), watch);
    feed.newest().expect("a page");
    feed.follow(1, Duration::ZERO).expect("a page");

    // Act
    era.store(2, Ordering::Relaxed);
    let given_out_again = feed.follow(1, Duration::ZERO);
    feed.newest().expect("a page");

    // Assert
    assert_eq!(given_out_again, Err(FeedError::Truncated));
    assert!(feed.follow(1, Duration::ZERO).is_ok());
}

#[test]
fn an_era_that_another_client_met_ends_the_reads_of_the_last_one() {
    // Arrange
    let watch = Arc::new(EraWatch::default());
    let store = Box::new(Store(Arc::new(AtomicU64::new(1))));
    let mut feed = EraFeed::new(store, watch.clone());
    feed.newest().expect("a page");

    // Act
    watch.observe(2);

    // Assert
    let followed = feed.follow(1, Duration::ZERO);
    assert_eq!(followed, Err(FeedError::Truncated));
    assert!(matches!(feed.newest(), Err(FeedError::Unavailable(_))));
}

#[test]
fn each_return_of_the_store_is_told_once() {
    // Arrange
    let told = Arc::new(Mutex::new(Vec::new()));
    let watch = EraWatch::default();
    let listener = told.clone();
    watch.listen(Box::new(move |era| {
        listener.lock().expect("held").push(era)
    }));

    // Act
    for era in [3, 3, 4, 3, 4, 6, u64::MAX] {
        watch.observe(era);
    }

    // Assert
    assert_eq!(*told.lock().expect("held"), [4, 6]);
}

#[test]
fn positions_are_compared_by_era_first_and_read_from_plain_offsets() {
    let parse = |text: &str| text.parse::<FeedPosition>().ok();
    assert!(parse("2:0") > parse("1:900"));
    assert_eq!(parse("7"), Some(FeedPosition { era: 0, next: 7 }));
    assert_eq!(
        parse("2:7").map(|position| position.to_string()).as_deref(),
        Some("2:7")
    );
    for malformed in ["", ":", "2:", ":7", "a:7", "2:7:1"] {
        assert_eq!(parse(malformed), None, "{malformed}");
    }
}
