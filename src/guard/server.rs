//! One backend server beside this daemon: its announcement, its slots and who waits for them.

use std::time::{Duration, Instant};

use super::breaker::{Breaker, CallEnd};
use super::cold::{ColdLimit, ColdSettings};
use super::message::{Announcement, GuardRequest, ServerOutcome, StartBlocker};
use super::queue::FairQueue;
use super::start_rate::StartRate;
use super::times::RouteTimes;
use super::warmth::Warmth;
use crate::membership::message::FULL_SHARE_PERMILLE;
use crate::membership::ServerEntry;
use crate::settings::guard::GuardSettings;
use crate::types::RouteId;
use crate::wire::client::CallError;

/// Answers before waits are foretold.
const LEAST_SAMPLE_COUNT: u32 = 8;

/// Whether a server is known to be where it announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Proof {
    /// Its health has named it, or a second announcement came.
    Proven,
    /// Its address was asked and has not answered yet.
    Asked,
    /// Its address can't be asked, or gave no help.
    Lacking,
}

/// State of one server. It outlives a lapsed announcement, so that a server that comes back is
/// judged by its former latency.
pub(super) struct ServerState {
    pub(super) announcement: Announcement,
    pub(super) renewed_at: Instant,
    /// Whether its announcement lapsed or was withdrawn.
    pub(super) gone: bool,
    /// Counts its lives, by announcements and deaths.
    pub(super) incarnation_count: u64,
    /// Above the limit only right after the limit fell.
    pub(super) running_count: u32,
    pub(super) queue: FairQueue,
    pub(super) cold: ColdLimit,
    pub(super) breaker: Breaker,
    /// Whether it is known to be there; see `inquiry`.
    pub(super) proof: Proof,
    /// When this life of it was first heard of.
    pub(super) seen_at: Instant,
    pub(super) start_rate: StartRate,
    /// Requests a second that it bears while it is cold; 0 where its service does not say.
    pub(super) cold_rate_per_s: f64,
    cold_rate_factor: f64,
    cold_rate_slack_count: u32,
    warmth: Warmth,
    times: RouteTimes,
}

impl ServerState {
    pub(super) fn new(settings: &GuardSettings, announcement: Announcement, now: Instant) -> Self {
        let cold = ColdSettings {
            first_count: settings.cold_limit_count,
            step: Duration::from_millis(settings.cold_step_ms),
            patience: Duration::from_millis(settings.cold_patience_ms),
        };
        let mut cold = ColdLimit::new(cold, now);
        if announcement.cold {
            cold.reported_cold(now);
        }
        ServerState {
            announcement,
            renewed_at: now,
            gone: false,
            incarnation_count: 1,
            running_count: 0,
            queue: FairQueue::new(settings.queue_count),
            cold,
            proof: Proof::Proven,
            seen_at: now,
            breaker: Breaker::new(Duration::from_millis(settings.breaker_open_ms)),
            start_rate: StartRate::default(),
            cold_rate_per_s: 0.0,
            cold_rate_factor: settings.cold_rate_factor,
            cold_rate_slack_count: settings.cold_rate_slack_count,
            warmth: Warmth::default(),
            times: RouteTimes::default(),
        }
    }

    /// Takes what may change while a server is known.
    pub(super) fn take_settings(&mut self, settings: &GuardSettings) {
        self.cold_rate_factor = settings.cold_rate_factor;
        self.cold_rate_slack_count = settings.cold_rate_slack_count;
    }

    /// Takes a new announcement. Says whether a new life of the server began.
    pub(super) fn renew(&mut self, now: Instant, announcement: Announcement) -> bool {
        let named = announcement.started_at_ms != 0 && self.announcement.started_at_ms != 0;
        let same_incarnation =
            named && announcement.started_at_ms == self.announcement.started_at_ms;
        let new_incarnation = (self.gone || named) && !same_incarnation;
        let reported_cold = announcement.cold && !self.announcement.cold;
        if new_incarnation {
            self.incarnation_count += 1;
            self.seen_at = now;
        }
        if reported_cold || (new_incarnation && announcement.cold) {
            self.cold.reported_cold(now);
        } else if new_incarnation {
            self.cold.turn_cold(now);
        }
        self.announcement = announcement;
        self.renewed_at = now;
        self.gone = false;
        new_incarnation
    }

    /// Whether the announcement is of an earlier life than the one that is present.
    pub(super) fn is_of_earlier_incarnation(&self, announcement: &Announcement) -> bool {
        let held_ms = self.announcement.started_at_ms;
        match announcement.started_at_ms {
            0 => held_ms != 0,
            started_at_ms => started_at_ms < held_ms && !self.gone,
        }
    }

    /// Whether a later announcement of the same life was taken.
    pub(super) fn has_said_later(&self, announcement: &Announcement) -> bool {
        let held = &self.announcement;
        let same_incarnation = announcement.started_at_ms == held.started_at_ms;
        same_incarnation && announcement.sequence != 0 && announcement.sequence < held.sequence
    }

    /// Whether it is known to be there.
    pub(super) fn is_proven(&self) -> bool {
        self.proof == Proof::Proven
    }

    /// Requests at a time, at present.
    pub(super) fn limit_count(&self) -> u32 {
        if self.has_cold_rate() {
            return self.announcement.slots_count;
        }
        self.cold.limit_count(self.announcement.slots_count)
    }

    /// Whether it may be given new work, as far as it says itself.
    pub(super) fn takes_work(&self) -> bool {
        !self.gone && self.is_proven() && !self.announcement.draining
    }

    pub(super) fn has_free_slot(&self, now: Instant) -> bool {
        self.running_count < self.limit_count()
            && self
                .start_limit_count()
                .is_none_or(|limit_count| self.start_rate.admits(now, limit_count))
    }

    /// What keeps the next request from starting.
    pub(super) fn start_blocker(&self, now: Instant) -> StartBlocker {
        if self.breaker.open_for(now).is_some() {
            return StartBlocker::Breaker;
        }
        if self.running_count >= self.limit_count() {
            return StartBlocker::Slots;
        }
        match self.has_free_slot(now) {
            true => StartBlocker::Nothing,
            false => StartBlocker::StartRate,
        }
    }

    /// Whether its starts are limited by the rate that it bears while cold, and not by a number
    /// of slots that is found out.
    fn has_cold_rate(&self) -> bool {
        self.cold_rate_per_s > 0.0 && self.cold_rate_factor > 0.0
    }

    /// Requests that may start within a second. One that does not say it is cold may have turned
    /// cold since it was last proven warm.
    fn start_limit_count(&self) -> Option<usize> {
        if !self.has_cold_rate() {
            return None;
        }
        if self.announcement.cold {
            return Some((self.cold_rate_per_s as usize).max(1));
        }
        let most = self.cold_rate_per_s * self.cold_rate_factor;
        let most = (most as usize).saturating_add(self.cold_rate_slack_count as usize);
        Some(most.saturating_sub(START_MARGIN_COUNT).max(1))
    }

    /// When a start becomes possible for a request that waits with slots free.
    pub(super) fn rate_free_at(&self) -> Option<Instant> {
        if self.queue.is_empty() || self.running_count >= self.limit_count() {
            return None;
        }
        self.start_rate.free_at(self.start_limit_count()?)
    }

    /// Tells the breaker how a call that took `elapsed` ended. A failed answer is not held against
    /// a server whose own calls have just failed, nor one that was not waited for for long.
    pub(super) fn judge(
        &mut self,
        now: Instant,
        route: &RouteId,
        outcome: ServerOutcome,
        elapsed: Duration,
        own_calls_fail: bool,
    ) {
        let end = match outcome {
            ServerOutcome::Answered(status) if status < FAILURE_STATUS => CallEnd::Good,
            ServerOutcome::Answered(_) if own_calls_fail => return self.breaker.ended_neutral(),
            ServerOutcome::Failed(CallError::Late) if !self.is_overdue(route, elapsed) => {
                return self.breaker.ended_neutral();
            }
            ServerOutcome::Answered(_) => CallEnd::FailedAnswer,
            ServerOutcome::Shed => CallEnd::Shed,
            ServerOutcome::Failed(CallError::Late | CallError::ShortAnswer) => {
                CallEnd::FailedAnswer
            }
            ServerOutcome::Died
            | ServerOutcome::Replaced
            | ServerOutcome::Failed(CallError::NotSent | CallError::Broken | CallError::Died) => {
                CallEnd::Broken
            }
            ServerOutcome::Abandoned
            | ServerOutcome::Failed(
                CallError::Unwritable | CallError::ShortBody | CallError::AnswerTooLarge,
            ) => return self.breaker.ended_neutral(),
        };
        self.breaker.ended(now, end, elapsed);
    }

    /// Whether a call takes much longer than is usual, as far as that is known.
    fn is_overdue(&self, route: &RouteId, elapsed: Duration) -> bool {
        let usual_s = self.times.mean_s(route, LEAST_SAMPLE_COUNT);
        usual_s.is_none_or(|usual_s| elapsed.as_secs_f64() >= usual_s * OVERDUE_RATIO)
    }

    /// Takes the time of a whole answer.
    pub(super) fn answered(&mut self, now: Instant, request: &GuardRequest, elapsed: Duration) {
        self.times.add(&request.route, elapsed);
        let slots_count = self.announcement.slots_count;
        self.cold
            .answered(now, &request.route, elapsed, slots_count);
    }

    /// Takes the time of a good answer as evidence on whether the server was warm.
    pub(super) fn answered_well(&mut self, now: Instant, route: &RouteId, elapsed: Duration) {
        if self.announcement.cold {
            return self.warmth.reported_cold();
        }
        let started_at = now.checked_sub(elapsed).unwrap_or(now);
        if let Some(at) = self.warmth.answered(route, started_at, elapsed) {
            self.start_rate.proven_warm(at);
        }
    }

    /// How long a request would wait for its slot, by recent service times.
    pub(super) fn expected_wait(&self, request: &GuardRequest) -> Duration {
        let turns = (self.queue.ahead_count(request) + 1) as f64 / f64::from(self.limit_count());
        Duration::from_secs_f64((turns * self.times.overall_mean_s()).min(MAX_WAIT_S))
    }

    /// Whether a request that must wait can still be answered in time.
    pub(super) fn can_meet_deadline(&self, now: Instant, request: &GuardRequest) -> bool {
        let Some(own_s) = self.times.mean_s(&request.route, LEAST_SAMPLE_COUNT) else {
            return true;
        };
        let answered_at = now + self.expected_wait(request) + Duration::from_secs_f64(own_s);
        answered_at <= request.deadline_at
    }

    /// The server as other daemons know it.
    pub(super) fn entry(&self, takes_work: bool) -> ServerEntry {
        let by_rate = self.has_cold_rate();
        let cold = match by_rate {
            true => self.announcement.cold,
            false => self.cold.is_cold(),
        };
        let cold_count = match by_rate {
            true => (self.announcement.slots_count / COLD_SLOTS_DIVISOR).max(1),
            false => self.cold.limit_count(1).max(1),
        };
        ServerEntry {
            server: self.announcement.server.clone(),
            service: self.announcement.service.clone(),
            slots_count: if cold {
                cold_count
            } else {
                self.announcement.slots_count
            },
            cold,
            draining: self.announcement.draining || !self.is_proven() || !takes_work,
            share_permille: FULL_SHARE_PERMILLE,
        }
    }
}

const MAX_WAIT_S: f64 = 3600.0;

/// Time after which a missing answer tells of the server, relative to the usual time of its route.
const OVERDUE_RATIO: f64 = 2.0;

/// Lowest status that tells of a server's failure.
pub(super) const FAILURE_STATUS: u16 = 500;

/// Starts that stay below what a cold server bears, for requests that bunch on their way.
const START_MARGIN_COUNT: usize = 2;

/// A cold server counts for this part of its slots where entries compare servers.
const COLD_SLOTS_DIVISOR: u32 = 2;
