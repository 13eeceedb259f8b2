//! Tokens that one entry has borrowed for one organisation, and the requests that wait for more.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::types::RequestId;

/// Window over which the demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// An entry's borrowed tokens of one organisation, and the requests that wait for more.
#[derive(Debug, Default)]
pub struct EntryQuota {
    /// Borrowed tokens that are left; they can't be used after `lapses_at`.
    token_count: u32,
    /// When the loan ends; none before the first.
    lapses_at: Option<Instant>,
    /// Requests that wait for the home's answer, and since when; oldest first.
    waiting: VecDeque<(Instant, RequestId)>,
    /// When a home that did not answer is asked again.
    pub ask_at: Option<Instant>,
    /// Whether the home was asked and has not answered yet.
    pub asking: bool,
    /// Whether the last loan was smaller than asked for.
    short: bool,
    /// Tokens that the home was last asked for.
    asked_count: u32,
    /// Times of the requests within the demand window, oldest first.
    demand: VecDeque<Instant>,
}

impl EntryQuota {
    /// Records a request, and takes a token for it if one is left. Returns whether it did.
    pub fn take(&mut self, now: Instant) -> bool {
        while self
            .demand
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= DEMAND_WINDOW)
        {
            self.demand.pop_front();
        }
        self.demand.push_back(now);
        let valid = self.lapses_at.is_some_and(|at| now < at);
        if !valid || self.token_count == 0 {
            return false;
        }
        self.token_count -= 1;
        true
    }

    /// Queues a request until the home answers.
    pub fn wait(&mut self, now: Instant, request: RequestId) {
        self.waiting.push_back((now, request));
    }

    /// Returns how many tokens to ask for: those that requests wait for, and those likely needed
    /// while a loan lasts. A home that was short is asked for none in advance, since tokens that
    /// expire unused here are lost to other entries.
    pub fn prepare_request(&mut self, loan_time: Duration) -> u32 {
        let per_s = self.demand.len() as f64 / DEMAND_WINDOW.as_secs_f64();
        let ahead = match self.short {
            true => 0,
            false => (per_s * loan_time.as_secs_f64()) as u32,
        };
        self.asking = true;
        self.ask_at = None;
        self.asked_count = self.waiting.len() as u32 + ahead;
        self.asked_count
    }

    /// Takes a loan and returns the waiting requests that get a token from it.
    pub fn receive_loan(
        &mut self,
        now: Instant,
        count: u32,
        loan_time: Duration,
    ) -> Vec<RequestId> {
        self.short = count < self.asked_count;
        let granted_count = self.waiting.len().min(count as usize);
        self.token_count = count - granted_count as u32;
        self.lapses_at = Some(now + loan_time);
        let granted = self.waiting.drain(..granted_count);
        granted.map(|(_, request)| request).collect()
    }

    /// Returns the request that has waited longest, and since when.
    pub fn oldest_waiting(&self) -> Option<(Instant, RequestId)> {
        self.waiting.front().copied()
    }

    /// Removes and returns the request that has waited longest.
    pub fn take_oldest_waiting(&mut self) -> Option<RequestId> {
        self.waiting.pop_front().map(|(_, request)| request)
    }

    /// Returns whether the last loan was smaller than asked for.
    pub fn is_home_short(&self) -> bool {
        self.short
    }

    /// Removes and returns all requests that wait.
    pub fn take_all_waiting(&mut self) -> Vec<RequestId> {
        self.waiting.drain(..).map(|(_, request)| request).collect()
    }

    /// Returns whether any request waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}
