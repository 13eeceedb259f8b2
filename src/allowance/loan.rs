//! Borrowed tokens of one organisation at an entry, and the requests that wait for some.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::message::CallId;
use crate::error::ErrorKind;
use crate::link::BorrowAnswer;
use crate::types::{DaemonId, RequestId};

/// Tokens that a holder lent.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Loan {
    count: u32,
    lapses_at: Instant,
}

/// A request that waits for a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The request.
    pub request: RequestId,
    /// Refused when it has no token by then.
    pub until: Instant,
}

/// A call for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingBorrow {
    /// The call.
    pub call: CallId,
    /// The holder.
    pub to: DaemonId,
    /// Tokens asked for.
    pub count: u32,
    /// When the next holder is asked instead.
    pub until: Instant,
}

/// Holders that are asked one after the other.
#[derive(Debug, Clone, PartialEq)]
pub struct BorrowRound {
    /// Holders not asked yet, the next one last.
    pub holders_left: SmallVec<[DaemonId; 3]>,
    /// The call that is waited for.
    pub pending: Option<PendingBorrow>,
    /// The soonest time that a holder named.
    pub retry_after: Duration,
    /// Whether a share is with nobody who could be asked or who answered.
    pub partial: bool,
}

impl BorrowRound {
    /// Takes the answer to the pending call. A holder that lent all it was asked for may have
    /// more, and is asked again if that is not enough.
    pub fn answered(&mut self, call: CallId, lent: Option<&BorrowAnswer>) {
        if self.pending.as_ref().is_none_or(|p| p.call != call) {
            return;
        }
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Some(lent) = lent else {
            self.retry_after = self.retry_after.min(DEFAULT_RETRY_AFTER);
            self.partial = true;
            return;
        };
        if lent.count >= pending.count {
            self.holders_left.push(pending.to);
            return;
        }
        let retry_after = match lent.count {
            0 => lent.retry_after,
            _ => MIN_ROUND_INTERVAL,
        };
        self.retry_after = self.retry_after.min(retry_after);
    }
}

/// Shortest time between two rounds of asking for one organisation.
pub const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// When to ask again where nothing is known yet.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What an entry has of one organisation's tokens.
#[derive(Debug, Default)]
pub struct BorrowedTokens {
    /// Soonest lapse first.
    loans: SmallVec<[Loan; 4]>,
    /// First come, first served; bounded by the settings.
    pub waiting: VecDeque<WaitingRequest>,
    /// The round of asking that runs.
    pub round: Option<BorrowRound>,
    /// No new round before.
    pub closed_until: Option<Instant>,
    /// Whether the last round that ended was partial.
    pub partial: bool,
    demand: Demand,
    /// How long the last loan lived.
    loan_time: Option<Duration>,
    used_at: Option<Instant>,
}

impl BorrowedTokens {
    /// Why a request gets no token now. "Over its rate" is said only where all shares were asked.
    pub fn refusal(&self) -> ErrorKind {
        let asking = self.round.as_ref();
        let unanswered = asking.is_some_and(|round| round.partial || round.pending.is_some());
        if self.partial || unanswered {
            return ErrorKind::AllowanceUnreachable;
        }
        ErrorKind::RateExceeded
    }

    /// Notes that a request asks for a token.
    pub fn note_request(&mut self, now: Instant) {
        self.demand.add(now);
        self.used_at = Some(now);
    }

    /// Takes a borrowed token that has not lapsed.
    pub fn take(&mut self, now: Instant) -> bool {
        self.loans
            .retain(|loan| loan.lapses_at > now && loan.count > 0);
        match self.loans.first_mut() {
            Some(loan) => {
                loan.count -= 1;
                true
            }
            None => false,
        }
    }

    /// Puts borrowed tokens in, which lapse `time` after the request for them was sent.
    pub fn add_loan(&mut self, sent_at: Instant, count: u32, time: Duration) {
        let lapses_at = sent_at + time;
        self.loan_time = Some(time);
        let place = self.loans.partition_point(|l| l.lapses_at <= lapses_at);
        self.loans.insert(place, Loan { count, lapses_at });
    }

    /// How many tokens to ask for: those that requests wait for, and the demand of a short time.
    pub fn batch_count(&self, now: Instant, window: Duration) -> u32 {
        let half = self.loan_time.map_or(window, |time| time / 2);
        let ahead = self.demand.rate_per_s(now) * window.min(half).as_secs_f64();
        (ahead as u32).max(self.waiting.len() as u32).max(1)
    }

    /// Whether nothing would be lost by forgetting it.
    pub fn is_idle(&self, now: Instant) -> bool {
        let unused = self.used_at.is_none_or(|at| now > at + IDLE_LIMIT);
        unused && self.waiting.is_empty() && self.round.is_none()
    }
}

const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Requests a second, older ones weighing less.
#[derive(Debug, Default, Clone)]
struct Demand {
    level: f64,
    at: Option<Instant>,
}

impl Demand {
    fn add(&mut self, now: Instant) {
        self.level = self.decayed(now) + 1.0;
        self.at = Some(now);
    }

    fn rate_per_s(&self, now: Instant) -> f64 {
        self.decayed(now) / DEMAND_WINDOW.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(at);
        self.level * (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}

const DEMAND_WINDOW: Duration = Duration::from_millis(200);
