//! The thread that reads one feed: first its newest items, then what follows.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::follow::{FollowPlan, ReadEnd};
use super::message::FeedRead;
use super::turn::SharedTurn;
use super::{Feed, FeedError};
use crate::settings::feed::FeedSettings;

/// Receives the result of each read, on the reader's thread.
pub type ReadSink<T> = Box<dyn Fn(FeedRead<T>) + Send>;

/// How a reader continues after the newest items.
#[derive(Debug, Clone)]
pub enum ReadMode {
    /// Follows the feed; each read waits at the platform for the next item, in this daemon's turn.
    Follow(Arc<SharedTurn>),
    /// Reads the newest items again after `first`, and then after longer and longer waits up to
    /// `longest`.
    Poll {
        /// Wait before the second read.
        first: Duration,
        /// Upper bound of the waits between reads.
        longest: Duration,
    },
}

/// One reader of a feed, which runs on its own thread.
pub struct FeedReader<T> {
    /// Settings of the waits after failures.
    pub settings: FeedSettings,
    /// How the reader continues after the newest items.
    pub mode: ReadMode,
    /// The feed that is read.
    pub feed: Box<dyn Feed<T>>,
    /// Receives the result of each read.
    pub sink: ReadSink<T>,
    /// Used to wait: a message ends the wait, and a daemon that stops closes it. Only a reader that
    /// polls gets messages, when the store may have lost what was read.
    pub pause: crossbeam::channel::Receiver<()>,
    /// Whether the daemon stops.
    pub stopping: Arc<AtomicBool>,
}

impl<T> FeedReader<T> {
    /// Reads until the daemon stops.
    pub fn run(mut self) {
        match self.mode {
            ReadMode::Follow(ref turn) => {
                let turn = turn.clone();
                self.follow(&turn);
            }
            ReadMode::Poll { first, longest } => self.poll(first, longest),
        }
    }

    /// Reads the newest items and then follows the feed; starts over if records may have been
    /// missed. After a failure it does not wait for records until a read has succeeded.
    fn follow(&mut self, turn: &SharedTurn) {
        let mut from = None;
        let mut plan = FollowPlan::default();
        while !self.stopping.load(Ordering::Relaxed) {
            let began_at = Instant::now();
            let read = match from {
                None => self.feed.newest(),
                Some(from) => {
                    let wait = plan.next_wait(turn.get(), &self.settings);
                    self.feed.follow(from, wait)
                }
            };
            match read {
                Ok(page) => {
                    let next = page.next;
                    let followed = from.replace(next);
                    plan.record_end(match followed {
                        None => ReadEnd::Newest,
                        Some(from) if from < next => ReadEnd::Items,
                        Some(_) => ReadEnd::Nothing,
                    });
                    (self.sink)(match followed.is_some() {
                        true => FeedRead::Followed(page),
                        false => FeedRead::Newest(page),
                    });
                }
                Err(error) => {
                    let counts = error != FeedError::Truncated;
                    plan.record_end(ReadEnd::Failed { counts });
                    // Records may have been missed, or dropped for newer ones.
                    if !matches!(error, FeedError::Unavailable(_)) {
                        from = None;
                    }
                    (self.sink)(FeedRead::Failed(error));
                    self.back_off(plan.failed_count(), began_at);
                }
            }
        }
    }

    /// Reads the newest items again and again, with growing waits.
    fn poll(&mut self, first: Duration, longest: Duration) {
        let mut wait = first;
        let mut failed_count: u32 = 0;
        while !self.stopping.load(Ordering::Relaxed) {
            let began_at = Instant::now();
            match self.feed.newest() {
                Ok(page) => {
                    failed_count = 0;
                    (self.sink)(FeedRead::Newest(page));
                    // A closed channel means that the daemon stops.
                    if self.pause.recv_timeout(wait).is_err() {
                        wait = (wait * POLL_FACTOR).min(longest);
                        continue;
                    }
                    // All daemons are woken at once.
                    let spread = first.mul_f64(rand::rng().random_range(0.0..=1.0));
                    let _ = self.pause.recv_timeout(spread);
                }
                Err(error) => {
                    failed_count += 1;
                    (self.sink)(FeedRead::Failed(error));
                    self.back_off(failed_count, began_at);
                }
            }
        }
    }

    /// Waits after failures in a row, longer each time, since every call has a cost.
    fn back_off(&self, failed_count: u32, began_at: Instant) {
        if failed_count == 0 {
            return;
        }
        let doublings = (failed_count - 1).min(DOUBLING_LIMIT_COUNT);
        let wait_ms = self.settings.retry_ms << doublings;
        let wait = Duration::from_millis(wait_ms.min(self.settings.retry_limit_ms));
        let jitter = rand::rng().random_range(JITTER_FLOOR..=1.0);
        let left = wait.mul_f64(jitter).saturating_sub(began_at.elapsed());
        // A closed channel means that the daemon stops.
        let _ = self.pause.recv_timeout(left);
    }
}

/// Most doublings of the wait after failures.
const DOUBLING_LIMIT_COUNT: u32 = 10;
/// Smallest random factor on a wait after failures, which keeps daemons from reading in step.
const JITTER_FLOOR: f64 = 0.75;
/// Factor by which each wait between two polls is longer than the last.
const POLL_FACTOR: u32 = 2;
