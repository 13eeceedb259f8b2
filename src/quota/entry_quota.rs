//! What one entry holds of one organisation's tokens.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::types::RequestId;

/// Demand is measured over this time.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Tokens on loan, and the requests that wait for more.
#[derive(Debug, Default)]
pub struct EntryQuota {
    /// Tokens on loan; worth nothing after `lapses_at`.
    token_count: u32,
    lapses_at: Option<Instant>,
    /// Requests that wait for the home's answer, and since when; oldest first.
    waiting: VecDeque<(Instant, RequestId)>,
    /// When a home that did not answer is asked again.
    pub ask_at: Option<Instant>,
    /// Whether the home was asked and has not answered.
    pub asking: bool,
    /// Whether the home gave less than it was asked for last.
    short: bool,
    /// Tokens that the home was asked for last.
    asked_count: u32,
    /// Requests of late, oldest first.
    demand: VecDeque<Instant>,
}

impl EntryQuota {
    /// Notes a request, and takes a token for it if one is there.
    pub fn take(&mut self, now: Instant) -> bool {
        while self
            .demand
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= DEMAND_WINDOW)
        {
            self.demand.pop_front();
        }
        self.demand.push_back(now);
        let good = self.lapses_at.is_some_and(|at| now < at);
        if !good || self.token_count == 0 {
            return false;
        }
        self.token_count -= 1;
        true
    }

    /// Lets a request wait for the home's answer.
    pub fn wait(&mut self, now: Instant, request: RequestId) {
        self.waiting.push_back((now, request));
    }

    /// How many tokens to ask for: those that requests wait for, and those that may be wanted
    /// while a loan lives. A home that is short is asked for none ahead, since tokens that lapse
    /// here are lost to others.
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

    /// Takes a loan; gives the requests that have their token by it.
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

    /// The request that waits longest, and since when.
    pub fn oldest_waiting(&self) -> Option<(Instant, RequestId)> {
        self.waiting.front().copied()
    }

    /// Takes the request that waits longest.
    pub fn take_oldest_waiting(&mut self) -> Option<RequestId> {
        self.waiting.pop_front().map(|(_, request)| request)
    }

    /// Whether the home gave less than it was asked for last.
    pub fn is_home_short(&self) -> bool {
        self.short
    }

    /// Takes all requests that wait.
    pub fn take_all_waiting(&mut self) -> Vec<RequestId> {
        self.waiting.drain(..).map(|(_, request)| request).collect()
    }

    /// Whether requests wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}
