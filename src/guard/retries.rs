//! Retry budget: limits the repeats that start at the server on this VM.
//!
//! The guards of a service share its retry budget without coordination: each has an even part of
//! the reserve, and adds a share of the first attempts that it starts itself. A repeat that finds
//! no budget at one guard is not run, and its entry daemon asks another guard, so that the whole
//! budget of the service is available to any request.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::message::GuardRequest;
use crate::settings::guard::GuardSettings;

/// Share of the budget that repeats may use; the rest covers calls that repeats cause unseen.
const USED_SHARE: f64 = 0.85;

/// Attempts that started at the server on this VM within the window of the retry budget.
#[derive(Debug)]
pub struct RetryWindow {
    /// Length of the window; zero for no limit on repeats.
    window: Duration,
    /// Repeats allowed for each first attempt.
    share: f64,
    /// Repeats that the guards of the service may start in a window besides the share of first
    /// attempts.
    reserve_count: f64,
    /// Starts of first attempts, oldest first.
    firsts: VecDeque<Instant>,
    /// Starts of repeats and of calls that a repeat caused, oldest first.
    repeats: VecDeque<Instant>,
}

/// Kind of an attempt in the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt of a request.
    First,
    /// The first attempt of a call that a server may have made for a repeat; it is counted but not
    /// limited.
    CallOfRepeat,
    /// An attempt after an earlier one has reached a server.
    Repeat,
}

impl AttemptKind {
    /// Returns the kind of an attempt by its terms.
    pub fn of(request: &GuardRequest) -> AttemptKind {
        let terms = request.terms;
        match (terms.repeat, terms.of_repeat) {
            (true, _) => AttemptKind::Repeat,
            (false, true) => AttemptKind::CallOfRepeat,
            (false, false) => AttemptKind::First,
        }
    }
}

impl RetryWindow {
    /// Creates a window without attempts.
    pub fn new(settings: &GuardSettings) -> RetryWindow {
        RetryWindow {
            window: Duration::from_millis(settings.retry_window_ms),
            share: settings.retry_share * USED_SHARE,
            reserve_count: f64::from(settings.retry_reserve_count) * USED_SHARE,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Applies reloaded settings and keeps the attempts.
    pub fn apply_settings(&mut self, settings: &GuardSettings) {
        let RetryWindow {
            firsts, repeats, ..
        } = std::mem::replace(self, RetryWindow::new(settings));
        self.firsts = firsts;
        self.repeats = repeats;
    }

    /// Returns whether a repeat may start while `guard_count` guards share the reserve.
    pub fn admits(&mut self, now: Instant, guard_count: usize) -> bool {
        if self.window.is_zero() {
            return true;
        }
        self.forget_expired(now);
        let part_count = self.reserve_count / guard_count.max(1) as f64;
        let limit_count = self.share * self.firsts.len() as f64 + part_count;
        (self.repeats.len() + 1) as f64 <= limit_count
    }

    /// Records that an attempt starts.
    pub fn record_start(&mut self, now: Instant, kind: AttemptKind) {
        if self.window.is_zero() {
            return;
        }
        self.forget_expired(now);
        match kind {
            AttemptKind::First => self.firsts.push_back(now),
            AttemptKind::CallOfRepeat | AttemptKind::Repeat => self.repeats.push_back(now),
        }
    }

    /// Forgets attempts that are older than the window.
    fn forget_expired(&mut self, now: Instant) {
        let window = self.window;
        let over = |at: &Instant| now.saturating_duration_since(*at) >= window;
        for starts in [&mut self.firsts, &mut self.repeats] {
            while starts.front().is_some_and(over) {
                starts.pop_front();
            }
        }
    }
}

#[cfg(test)]
mod tests;
