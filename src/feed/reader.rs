//! The thread that reads one feed: first its newest items, then what follows.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::follow::{retry_wait, FollowPlan, PlannedRead};
use super::message::FeedRead;
use super::role::SharedRole;
use super::Feed;
use crate::settings::feed::FeedSettings;

/// Receives the result of each read, on the reader's thread.
pub type ReadSink<T> = Box<dyn Fn(FeedRead<T>) + Send>;

/// How a reader continues after the newest items.
#[derive(Debug, Clone)]
pub enum ReadMode {
    /// Follows the feed; each read waits at the platform for the next item.
    Follow(Arc<SharedRole>),
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
            ReadMode::Follow(ref role) => {
                let role = role.clone();
                self.follow(&role);
            }
            ReadMode::Poll { first, longest } => self.poll(first, longest),
        }
    }

    /// Reads the newest items and then follows the feed; starts over if records may have been
    /// missed. After a failure it does not wait for records until a read has succeeded.
    fn follow(&mut self, role: &SharedRole) {
        let mut plan = FollowPlan::default();
        while !self.stopping.load(Ordering::Relaxed) {
            let began_at = Instant::now();
            let result = match plan.next_read(role.get(), &self.settings) {
                PlannedRead::Newest => self.feed.newest(),
                PlannedRead::Follow { from, wait } => self.feed.follow(from, wait),
            };
            let has_failed = result.is_err();
            (self.sink)(plan.take(result));
            if has_failed {
                self.back_off(plan.retry_wait(&self.settings), began_at);
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
                    self.back_off(retry_wait(failed_count, &self.settings), began_at);
                }
            }
        }
    }

    /// Waits after a failed read until the next one may begin.
    fn back_off(&self, wait: Duration, began_at: Instant) {
        let jitter = rand::rng().random_range(JITTER_FLOOR..=1.0);
        let left = wait.mul_f64(jitter).saturating_sub(began_at.elapsed());
        // A closed channel means that the daemon stops.
        let _ = self.pause.recv_timeout(left);
    }
}

/// Smallest random factor on a wait after failures, which keeps daemons from reading in step.
const JITTER_FLOOR: f64 = 0.75;
/// Factor by which each wait between two polls is longer than the last.
const POLL_FACTOR: u32 = 2;
