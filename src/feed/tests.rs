//! Tests of the configuration duty and of the reader of a feed.

mod era;
mod era_feed;
mod role;
mod silence;
mod simulation;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::follow::FollowPlan;
use super::message::{ConfigurationItem, FeedAction, FeedEvent, FeedRead, Snapshot};
use super::reader::{FeedReader, ReadMode};
use super::role::{ReadRole, SharedRole};
use super::{Feed, FeedError, FeedPosition, FeedState, Page};
use crate::contract::{Document, ServiceContract, View};
use crate::membership::{DaemonEntry, Fleet};
use crate::settings::feed::FeedSettings;
use crate::types::DaemonId;

/// Returns the state of daemon `own` before the first read.
fn state() -> FeedState {
    let random = ChaCha8Rng::seed_from_u64(1);
    FeedState::new(FeedSettings::default(), "own".into(), random)
}

/// Returns a fleet of these daemons, without servers.
fn fleet(names: impl Iterator<Item = DaemonId>) -> Fleet {
    let daemons = names.map(|daemon| {
        let entry = DaemonEntry {
            daemon: daemon.clone(),
            incarnation: 1,
            version: 1,
            domain: "d".into(),
            guard_address: "127.0.0.1:1".parse().expect("a literal address"),
            link_address: "127.0.0.1:2".parse().expect("a literal address"),
            leaving: false,
            servers: Vec::new(),
        };
        (daemon, Arc::new(entry))
    });
    Fleet {
        daemons: daemons.collect(),
    }
}

/// Returns a document that contains this service only.
fn document(service: &str) -> Arc<Document> {
    Arc::new(Document {
        services: vec![ServiceContract {
            service: service.into(),
            ..Default::default()
        }],
        ..Default::default()
    })
}

/// Returns a page of items that ends before offset `next`.
fn page(next: u64, items: Vec<ConfigurationItem>) -> Page<ConfigurationItem> {
    Page {
        items,
        next,
        era: 0,
    }
}

/// Returns a read of the newest configuration, which contains this service only.
fn newest(next: u64, service: &str) -> FeedEvent {
    let items = vec![ConfigurationItem::Document(document(service))];
    FeedEvent::Read(FeedRead::Newest(page(next, items)))
}

/// Returns a read that the platform did not answer.
fn failed() -> FeedEvent {
    FeedEvent::Read(FeedRead::Failed(FeedError::Unavailable("down".to_owned())))
}

/// Returns the view that is put in force, if one is.
fn view_of(actions: &[FeedAction]) -> Option<&View> {
    actions.iter().find_map(|action| match action {
        FeedAction::View(view) => Some(&**view),
        _ => None,
    })
}

/// Returns the peer that is asked, if one is.
fn asked(actions: &[FeedAction]) -> Option<&str> {
    actions.iter().find_map(|action| match action {
        FeedAction::Ask { peer, .. } => Some(&**peer),
        _ => None,
    })
}

#[test]
fn a_read_of_an_older_offset_does_not_replace_the_configuration() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    state.handle(now, newest(8, "new"));

    // Act
    let actions = state.handle(now, newest(5, "old"));

    // Assert
    assert!(view_of(&actions).is_none());
    assert_eq!(state.snapshot().next, 8);
}

#[test]
fn a_read_without_a_document_keeps_the_configuration_in_force() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    state.handle(now, newest(3, "s"));

    // Act
    let read = FeedRead::Newest(page(9, vec![ConfigurationItem::DomainOut("north".into())]));
    let actions = state.handle(now, FeedEvent::Read(read));

    // Assert
    let view = view_of(&actions).expect("a view");
    assert!(view.services.contains_key("s"));
    assert!(view.domains_out.contains("north"));
}

#[test]
fn a_missed_return_of_a_domain_is_applied_by_the_next_newest_read() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    let out = vec![
        ConfigurationItem::Document(document("s")),
        ConfigurationItem::DomainOut("north".into()),
    ];
    state.handle(now, FeedEvent::Read(FeedRead::Newest(page(3, out))));

    // Act
    let actions = state.handle(now, newest(7, "s"));

    // Assert
    assert!(view_of(&actions).expect("a view").domains_out.is_empty());
}

#[test]
fn a_peer_that_has_read_further_is_asked_only_after_the_patience() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    state.handle(now, newest(3, "s"));

    // Act
    let ahead = FeedEvent::PeerAhead {
        peer: "other".into(),
        next: FeedPosition { era: 0, next: 4 },
    };
    let at_once = state.handle(now, ahead);
    let later = state.handle(now + Duration::from_millis(200), FeedEvent::Tick);

    // Assert
    assert_eq!(asked(&at_once), None);
    assert_eq!(asked(&later), Some("other"));
}

#[test]
fn a_daemon_without_the_platform_takes_the_configuration_of_a_peer() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    state.handle(now, failed());

    // Act
    let answer = Snapshot {
        document: Some(document("s")),
        next: 6,
        ..Default::default()
    };
    let actions = state.handle(now, FeedEvent::PeerAnswered(Some(answer)));

    // Assert
    assert_eq!(view_of(&actions).expect("a view").next, 6);
}

#[test]
fn losing_and_regaining_the_platform_is_reported_once_each() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    let mut reported = Vec::new();

    // Act
    for event in [failed(), failed(), newest(1, "s"), newest(2, "s")] {
        for action in state.handle(now, event) {
            if let FeedAction::Reachable(reachable) = action {
                reported.push(reachable);
            }
        }
    }

    // Assert
    assert_eq!(reported, vec![false, true]);
}

/// Returns the newest items and stops the reader on the third read.
struct Polled {
    /// Reads of the newest items so far.
    count: u32,
    /// Flag that ends the reader.
    stopping: Arc<AtomicBool>,
}

impl Feed<u32> for Polled {
    /// Returns the number of the read as the only item.
    fn newest(&mut self) -> Result<Page<u32>, FeedError> {
        self.count += 1;
        self.stopping.store(self.count == 3, Ordering::Relaxed);
        Ok(Page {
            items: vec![self.count],
            next: 1,
            era: 0,
        })
    }

    /// Fails the test, since a polled feed must not be followed.
    fn follow(&mut self, _: u64, _: Duration) -> Result<Page<u32>, FeedError> {
        panic!("a polled feed is not followed");
    }
}

#[test]
fn a_polled_feed_is_read_again_and_never_followed() {
    // Arrange
    let (sender, receiver) = bounded(16);
    let (_pause, paused) = bounded(0);
    let stopping = Arc::new(AtomicBool::new(false));
    let reader = FeedReader {
        settings: FeedSettings::default(),
        mode: ReadMode::Poll {
            first: Duration::ZERO,
            longest: Duration::ZERO,
        },
        feed: Box::new(Polled {
            count: 0,
            stopping: stopping.clone(),
        }),
        sink: Box::new(move |read| sender.send(read).expect("room")),
        pause: paused,
        stopping,
    };

    // Act
    reader.run();

    // Assert
    let newest = |item| {
        FeedRead::Newest(Page {
            items: vec![item],
            next: 1,
            era: 0,
        })
    };
    let reads: Vec<FeedRead<u32>> = receiver.try_iter().collect();
    assert_eq!(reads, vec![newest(1), newest(2), newest(3)]);
}

#[test]
fn a_snapshot_beyond_the_offset_limit_does_not_hide_later_records() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    state.handle(now, newest(3, "s"));
    let beyond = Snapshot {
        document: Some(document("odd")),
        next: u64::MAX,
        ..Default::default()
    };

    // Act
    let answer = state.handle(now, FeedEvent::PeerAnswered(Some(beyond)));
    let followed = state.handle(now, newest(4, "t"));

    // Assert
    assert!(view_of(&answer).is_none());
    let view = view_of(&followed).expect("a view");
    assert!(view.services.contains_key("t"));
}

/// A feed whose first waiting read fails, and which stops the reader after the third.
struct Hanging {
    /// Waits that the reader asked for.
    waits: crossbeam::channel::Sender<Duration>,
    /// Number of waiting reads so far.
    count: u32,
    /// Flag that ends the reader.
    stopping: Arc<AtomicBool>,
}

impl Feed<u32> for Hanging {
    fn newest(&mut self) -> Result<Page<u32>, FeedError> {
        Ok(Page {
            items: Vec::new(),
            next: 1,
            era: 0,
        })
    }

    fn follow(&mut self, from: u64, wait: Duration) -> Result<Page<u32>, FeedError> {
        self.waits.send(wait).expect("room");
        self.count += 1;
        self.stopping.store(self.count == 3, Ordering::Relaxed);
        match self.count {
            1 => Err(FeedError::Unavailable("no answer".to_owned())),
            _ => Ok(Page {
                items: Vec::new(),
                next: from,
                era: 0,
            }),
        }
    }
}

#[test]
fn a_read_after_a_failed_one_does_not_wait_for_new_records() {
    // Arrange
    const WAIT: Duration = Duration::from_secs(5);
    let (waits, waited) = bounded(16);
    let (_pause, paused) = bounded(0);
    let stopping = Arc::new(AtomicBool::new(false));
    let role = Arc::new(SharedRole::default());
    role.set(ReadRole::Follower);
    let reader = FeedReader {
        settings: FeedSettings {
            retry_ms: 1,
            ..Default::default()
        },
        mode: ReadMode::Follow(role),
        feed: Box::new(Hanging {
            waits,
            count: 0,
            stopping: stopping.clone(),
        }),
        sink: Box::new(|_| {}),
        pause: paused,
        stopping,
    };

    // Act
    reader.run();

    // Assert
    let waits: Vec<Duration> = waited.try_iter().collect();
    assert_eq!(waits, [WAIT, Duration::ZERO, WAIT]);
}

/// Guards against a daemon that calls the platform without a pause, since the newest records are always
/// older than those that are still kept.
#[test]
fn a_fresh_start_that_leads_to_the_same_failure_is_followed_by_a_pause() {
    // Arrange
    let settings = FeedSettings::default();
    let newest = || {
        Ok(Page::<u32> {
            era: 0,
            items: Vec::new(),
            next: 1,
        })
    };
    let mut plan = FollowPlan::default();
    plan.take(newest());

    // Act
    let waits = [(); 3].map(|()| {
        plan.take::<u32>(Err(FeedError::Truncated));
        let wait = plan.retry_wait(&settings);
        plan.take(newest());
        wait.as_millis() as u64
    });

    // Assert
    assert_eq!(waits, [0, settings.retry_ms, settings.retry_ms]);
}
