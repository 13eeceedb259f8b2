//! Borrowed tokens of one organisation on the daemon where requests enter, and the requests that
//! wait for a token.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::message::CallId;
use crate::error::ErrorKind;
use crate::link::BorrowAnswer;
use crate::types::{DaemonId, RequestId};

/// Tokens that a holder lent until a time.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Loan {
    count: u32,
    /// When the tokens that are left are lost.
    lapses_at: Instant,
}

/// A request that waits for a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Request that needs one token.
    pub request: RequestId,
    /// When the request is refused if it has no token yet.
    pub until: Instant,
}

/// A call to a holder for tokens, not answered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingBorrow {
    /// Number of the call.
    pub call: CallId,
    /// Holder that was called.
    pub to: DaemonId,
    /// Number of tokens asked for.
    pub count: u32,
    /// When the next holder is asked instead.
    pub until: Instant,
}

/// One round of asking the holders of an organisation's shards, one after the other.
#[derive(Debug, Clone, PartialEq)]
pub struct BorrowRound {
    /// Holders not asked yet; the last element is asked next.
    pub holders_left: SmallVec<[DaemonId; 3]>,
    /// The call that waits for an answer.
    pub pending: Option<PendingBorrow>,
    /// Shortest retry time that a holder has answered in this round.
    pub retry_after: Duration,
    /// Whether a shard's holder is unknown, unreachable or has not answered, so that not all of the
    /// organisation's tokens were asked for.
    pub partial: bool,
}

impl BorrowRound {
    /// Takes the answer to the pending call. A holder that lent all it was asked for may have more,
    /// and is asked again if that is not enough.
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
/// Retry time to use while no holder has given one.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Borrowed tokens, waiting requests and demand of one organisation.
#[derive(Debug, Default)]
pub struct BorrowedTokens {
    /// Loans, the one that lapses first at the front.
    loans: SmallVec<[Loan; 4]>,
    /// Waiting requests in order of arrival; `waiting_limit_count` of the settings bounds them.
    pub waiting: VecDeque<WaitingRequest>,
    /// The round in progress.
    pub round: Option<BorrowRound>,
    /// No new round begins before this time.
    pub closed_until: Option<Instant>,
    /// Whether the last complete round could not ask for all tokens.
    pub partial: bool,
    /// Recent rate of requests, which sets how many tokens to ask for.
    demand: Demand,
    /// Lifetime of the newest loan.
    loan_time: Option<Duration>,
    /// When a request last asked for a token.
    used_at: Option<Instant>,
}

impl BorrowedTokens {
    /// Returns the kind of error for a refused request. It is "rate exceeded" only if all of the
    /// organisation's tokens were asked for.
    pub fn refusal(&self) -> ErrorKind {
        let asking = self.round.as_ref();
        let unanswered = asking.is_some_and(|round| round.partial || round.pending.is_some());
        if self.partial || unanswered {
            return ErrorKind::AllowanceUnreachable;
        }
        ErrorKind::RateExceeded
    }

    /// Records that a request asks for a token.
    pub fn note_request(&mut self, now: Instant) {
        self.demand.add(now);
        self.used_at = Some(now);
    }

    /// Takes one borrowed token that has not lapsed; returns whether there was one.
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

    /// Adds borrowed tokens that lapse `time` after the request for them was sent.
    pub fn add_loan(&mut self, sent_at: Instant, count: u32, time: Duration) {
        let lapses_at = sent_at + time;
        self.loan_time = Some(time);
        let place = self.loans.partition_point(|l| l.lapses_at <= lapses_at);
        self.loans.insert(place, Loan { count, lapses_at });
    }

    /// Returns how many tokens to ask for: enough for the waiting requests, and for the expected
    /// demand of `window` or half a loan's lifetime, whichever is shorter.
    pub fn batch_count(&self, now: Instant, window: Duration) -> u32 {
        let half = self.loan_time.map_or(window, |time| time / 2);
        let ahead = self.demand.rate_per_s(now) * window.min(half).as_secs_f64();
        (ahead as u32).max(self.waiting.len() as u32).max(1)
    }

    /// Returns whether the organisation can be forgotten without losing state that matters.
    pub fn is_idle(&self, now: Instant) -> bool {
        let unused = self.used_at.is_none_or(|at| now > at + IDLE_LIMIT);
        unused && self.waiting.is_empty() && self.round.is_none()
    }
}

/// Time without requests after which an organisation is forgotten.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Exponentially decaying average of the request rate.
#[derive(Debug, Default, Clone)]
struct Demand {
    /// Requests, each with a weight that decays with its age.
    level: f64,
    /// When `level` was last updated.
    at: Option<Instant>,
}

impl Demand {
    /// Adds one request to the average.
    fn add(&mut self, now: Instant) {
        self.level = self.decayed(now) + 1.0;
        self.at = Some(now);
    }

    /// Returns the average rate of requests.
    fn rate_per_s(&self, now: Instant) -> f64 {
        self.decayed(now) / DEMAND_WINDOW.as_secs_f64()
    }

    /// Returns the level at `now`.
    fn decayed(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(at);
        self.level * (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}

/// Time constant of the decay.
const DEMAND_WINDOW: Duration = Duration::from_millis(200);
