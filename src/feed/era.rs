//! Eras of the platform's store: each return from a copy begins one, and gives offsets out again.

use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{Feed, FeedError, Page};
use crate::types::{Offset, StoreEra, ERA_LIMIT, OFFSET_LIMIT};

/// Place up to which a feed was read. Every place of a later era comes after those of earlier ones;
/// offsets of different eras are never compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedPosition {
    /// Era of the store in which the feed was read. Compared first.
    pub era: StoreEra,
    /// Offset after the last record that was read.
    pub next: Offset,
}

impl FeedPosition {
    /// Returns whether a store can have this position.
    pub fn is_valid(&self) -> bool {
        self.era <= ERA_LIMIT && self.next <= OFFSET_LIMIT
    }
}

impl fmt::Display for FeedPosition {
    /// Writes `ERA:OFFSET`; only the offset where the store tells no era.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(out, "{}", self.next),
            era => write!(out, "{era}:{}", self.next),
        }
    }
}

impl FromStr for FeedPosition {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<FeedPosition, Self::Err> {
        let (era, next) = text.split_once(':').unwrap_or(("0", text));
        Ok(FeedPosition {
            era: era.parse()?,
            next: next.parse()?,
        })
    }
}

/// The position of the configuration in force, shared by threads.
#[derive(Debug, Default)]
pub struct SharedPosition(Mutex<FeedPosition>);

impl SharedPosition {
    /// Replaces the position.
    pub fn set(&self, position: FeedPosition) {
        *self.0.lock().expect("no panic while locked") = position;
    }

    /// Returns the position.
    pub fn get(&self) -> FeedPosition {
        *self.0.lock().expect("no panic while locked")
    }
}

/// Called with the era that has begun, on the thread that learnt of it.
pub type EraListener = Box<dyn Fn(StoreEra) + Send>;

/// The latest era that any answer of the store has told, shared by all clients of the store.
#[derive(Default)]
pub struct EraWatch(Mutex<EraWatchState>);

/// Content of an `EraWatch`.
#[derive(Default)]
struct EraWatchState {
    /// Latest era; none before the first answer. Never decreases.
    latest: Option<StoreEra>,
    /// Called when the store has returned from a copy.
    listeners: Vec<EraListener>,
}

impl EraWatch {
    /// Adds a listener, which is called for every era after the one in which the store was met.
    pub fn listen(&self, listener: EraListener) {
        let mut state = self.0.lock().expect("no panic while locked");
        state.listeners.push(listener);
    }

    /// Takes the era that an answer of the store tells. Earlier eras change nothing.
    pub fn observe(&self, era: StoreEra) {
        let mut state = self.0.lock().expect("no panic while locked");
        if era > ERA_LIMIT || state.latest.is_some_and(|latest| era <= latest) {
            return;
        }
        let met_before = state.latest.replace(era).is_some();
        if !met_before {
            return;
        }
        for listener in &state.listeners {
            listener(era);
        }
    }

    /// Returns the latest era; 0 before the first answer.
    pub fn latest(&self) -> StoreEra {
        let state = self.0.lock().expect("no panic while locked");
        state.latest.unwrap_or(0)
    }
}

/// A feed that is followed only within the era in which its newest items were read.
pub struct EraFeed<T> {
    /// The feed of the platform.
    feed: Box<dyn Feed<T>>,
    /// Latest era that the store has told.
    watch: Arc<EraWatch>,
    /// Era of the last newest items; offsets of reads that follow belong to it.
    era: StoreEra,
}

impl<T> EraFeed<T> {
    /// Wraps a feed of the store whose eras `watch` tells.
    pub fn new(feed: Box<dyn Feed<T>>, watch: Arc<EraWatch>) -> EraFeed<T> {
        EraFeed {
            feed,
            watch,
            era: 0,
        }
    }
}

impl<T> Feed<T> for EraFeed<T> {
    fn newest(&mut self) -> Result<Page<T>, FeedError> {
        let page = self.feed.newest()?;
        if page.era < self.watch.latest() {
            let problem = format!("an answer of the ended era {}", page.era);
            return Err(FeedError::Unavailable(problem));
        }
        self.era = page.era;
        Ok(page)
    }

    fn follow(&mut self, from: Offset, wait: Duration) -> Result<Page<T>, FeedError> {
        // In another era the offset names another record, or none.
        if self.watch.latest() > self.era {
            return Err(FeedError::Truncated);
        }
        let page = self.feed.follow(from, wait)?;
        match page.era == self.era {
            true => Ok(page),
            false => Err(FeedError::Truncated),
        }
    }
}
