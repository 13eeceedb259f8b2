//! One backend server on this VM: its announcement, its slots and the requests that wait for them.

use std::time::{Duration, Instant};

use super::breaker::{Breaker, CallEnd};
use super::cold::{ColdLimit, ColdSettings};
use super::load::StartBlocker;
use super::message::{Announcement, GuardRequest, ServerOutcome};
use super::queue::FairQueue;
use super::run_limit::{first_run_limit, hung_time, run_limit};
use super::start_rate::StartRate;
use super::times::RouteTimes;
use super::warmth::WarmthEvidence;
use crate::membership::message::FULL_SHARE_PERMILLE;
use crate::membership::ServerEntry;
use crate::rollout::RolloutStep;
use crate::settings::guard::GuardSettings;
use crate::types::RouteId;
use crate::wire::client::CallError;

/// Answers of a route that are needed before waits are estimated from its mean time.
pub(super) const MIN_SAMPLE_COUNT: u32 = 8;

/// Whether a server is confirmed to be at the address that it announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Presence {
    /// A health answer named the server, or a second announcement came that can't be from before the
    /// start of the daemon.
    Confirmed,
    /// The address was asked for its health and has not answered yet.
    Asked,
    /// The address can't be asked, or its answer did not confirm the server.
    Unconfirmed,
}

/// State of one server. It is kept after the announcement has expired, so that a server that comes
/// back is judged by its former latency.
pub(super) struct ServerState {
    /// Last announcement that was accepted.
    pub(super) announcement: Announcement,
    /// When the announcement was last renewed.
    pub(super) renewed_at: Instant,
    /// Step of the roll-out that concerns the server.
    pub(super) rollout_step: RolloutStep,
    /// Whether the server is absent: its announcement expired or was withdrawn, it died, another
    /// server replaced it, or the settings exclude it.
    pub(super) gone: bool,
    /// Incarnations of this server so far; a return after a death or a departure counts as one.
    pub(super) incarnation_count: u64,
    /// Requests that run; above the limit only right after the limit fell.
    pub(super) running_count: u32,
    /// Requests that wait for a slot.
    pub(super) queue: FairQueue,
    /// Limit on running requests while the server is cold; see `cold_limit`.
    pub(super) cold: ColdLimit,
    /// Refuses requests while the server fails too many of them.
    pub(super) breaker: Breaker,
    /// Whether the server is confirmed at its address; see `inquiry`.
    pub(super) presence: Presence,
    /// When this incarnation of the server was first announced.
    pub(super) seen_at: Instant,
    /// Starts within the last second, limited by the cold rate.
    pub(super) start_rate: StartRate,
    /// Requests per second that the server can take while it is cold; 0 where the contract of its
    /// service does not say.
    pub(super) cold_rate_per_s: f64,
    /// Multiple of the cold rate that a server gets while it does not announce that it is cold; 0
    /// for no limit by the cold rate.
    cold_rate_factor: f64,
    /// Starts per second allowed in addition to the multiple of the cold rate.
    cold_rate_slack_count: u32,
    /// Whether the server may be cold without announcing it, while its cold rate is not known.
    suspect_cold: bool,
    /// Evidence on whether the server has silently turned cold.
    warmth: WarmthEvidence,
    /// Service times by route, from which waits are estimated.
    pub(super) times: RouteTimes,
}

impl ServerState {
    /// Creates the state of a server that was not known before.
    pub(super) fn new(settings: &GuardSettings, announcement: Announcement, now: Instant) -> Self {
        let cold = ColdSettings {
            initial_limit_count: settings.cold_limit_count,
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
            rollout_step: RolloutStep::None,
            gone: false,
            incarnation_count: 1,
            running_count: 0,
            queue: FairQueue::new(settings.queue_count),
            cold,
            presence: Presence::Confirmed,
            seen_at: now,
            breaker: Breaker::new(
                Duration::from_millis(settings.breaker_open_ms),
                settings.breaker_reset_count,
            ),
            start_rate: StartRate::default(),
            cold_rate_per_s: 0.0,
            cold_rate_factor: settings.cold_rate_factor,
            cold_rate_slack_count: settings.cold_rate_slack_count,
            suspect_cold: settings.suspect_cold,
            warmth: WarmthEvidence::default(),
            times: RouteTimes::default(),
        }
    }

    /// Applies the settings that may change while a server is known.
    pub(super) fn apply_settings(&mut self, settings: &GuardSettings) {
        self.cold_rate_factor = settings.cold_rate_factor;
        self.cold_rate_slack_count = settings.cold_rate_slack_count;
        self.suspect_cold = settings.suspect_cold;
    }

    /// Takes a new announcement and returns whether a new incarnation of the server started.
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

    /// Returns whether the announcement is of an earlier incarnation than the present one.
    pub(super) fn is_of_earlier_incarnation(&self, announcement: &Announcement) -> bool {
        let held_ms = self.announcement.started_at_ms;
        match announcement.started_at_ms {
            0 => held_ms != 0,
            started_at_ms => started_at_ms < held_ms && !self.gone,
        }
    }

    /// Returns whether a later announcement of the same incarnation was accepted before.
    pub(super) fn has_later_announcement(&self, announcement: &Announcement) -> bool {
        let held = &self.announcement;
        let same_incarnation = announcement.started_at_ms == held.started_at_ms;
        same_incarnation && announcement.sequence != 0 && announcement.sequence < held.sequence
    }

    /// Returns whether the server is confirmed to be at its address.
    pub(super) fn is_confirmed(&self) -> bool {
        self.presence == Presence::Confirmed
    }

    /// Returns how many requests may run at the same time at present.
    pub(super) fn limit_count(&self) -> u32 {
        let slots_count = self.announcement.slots_count;
        let limit = self.cold_limit();
        limit.map_or(slots_count, |limit| limit.limit_count(slots_count))
    }

    /// Returns the limit of a server that is cold or may be; none where its cold rate limits it.
    fn cold_limit(&self) -> Option<&ColdLimit> {
        let is_owed = self.announcement.cold || self.suspect_cold;
        (is_owed && !self.has_cold_rate()).then_some(&self.cold)
    }

    /// Returns whether the server is present, confirmed, not draining and not closed by a roll-out.
    pub(super) fn takes_work(&self) -> bool {
        !self.gone && self.is_confirmed() && !self.leaves()
    }

    /// Returns whether another request may start, by free slots and by the limit of starts.
    pub(super) fn has_free_slot(&self, now: Instant) -> bool {
        self.running_count < self.limit_count()
            && self
                .start_limit_count()
                .is_none_or(|limit_count| self.start_rate.admits(now, limit_count))
    }

    /// Returns what keeps the next request from starting.
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

    /// Returns whether starts are limited by the cold rate of the service, instead of by
    /// `ColdLimit`, which finds a number of slots by trial.
    fn has_cold_rate(&self) -> bool {
        self.cold_rate_per_s > 0.0 && self.cold_rate_factor > 0.0
    }

    /// Returns how many requests may start within a second; `None` for no limit. A server that does
    /// not announce that it is cold may still have turned cold since it was last confirmed warm.
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

    /// Returns when the start rate lets the next waiting request start, if a slot is free for it.
    pub(super) fn rate_free_at(&self) -> Option<Instant> {
        if self.queue.is_empty() || self.running_count >= self.limit_count() {
            return None;
        }
        self.start_rate.free_at(self.start_limit_count()?)
    }

    /// Reports to the breaker how a call that took `elapsed` ended. A failed answer does not count
    /// against a server whose own calls have just failed, nor does a timeout of a call that was not
    /// overdue yet.
    pub(super) fn record_call_end(
        &mut self,
        now: Instant,
        route: &RouteId,
        outcome: ServerOutcome,
        elapsed: Duration,
        own_calls_fail: bool,
    ) {
        let end = match outcome {
            ServerOutcome::Answered(status) if status < FAILURE_STATUS => CallEnd::Good,
            ServerOutcome::Answered(_) if own_calls_fail => return self.breaker.record_neutral(),
            ServerOutcome::Failed(CallError::Late) if !self.is_overdue(route, elapsed) => {
                return self.breaker.record_neutral();
            }
            ServerOutcome::Answered(_) => CallEnd::FailedAnswer,
            ServerOutcome::Shed => CallEnd::Shed,
            ServerOutcome::Failed(CallError::Late | CallError::ShortAnswer) => {
                CallEnd::FailedAnswer
            }
            ServerOutcome::Failed(CallError::Broken) => CallEnd::Reset,
            ServerOutcome::Died
            | ServerOutcome::Replaced
            | ServerOutcome::Failed(CallError::NotSent | CallError::Died) => CallEnd::Broken,
            ServerOutcome::Abandoned
            | ServerOutcome::Failed(
                CallError::Unwritable
                | CallError::ShortBody
                | CallError::AnswerTooLarge
                | CallError::Evicted,
            ) => return self.breaker.record_neutral(),
        };
        self.breaker.record_end(now, end, elapsed);
    }

    /// Returns whether a call took much longer than is typical for its route; true while the
    /// typical time is not known.
    fn is_overdue(&self, route: &RouteId, elapsed: Duration) -> bool {
        let typical_s = self.times.route_or_overall_mean_s(route, MIN_SAMPLE_COUNT);
        typical_s.is_none_or(|typical_s| elapsed.as_secs_f64() >= typical_s * OVERDUE_RATIO)
    }

    /// Adds the time of a run to the mean of its route. A hung run counts no more than the time after
    /// which it counts as hung, so the mean follows a server that turns slow, but hardly a single run.
    pub(super) fn record_time(&mut self, route: &RouteId, elapsed: Duration) {
        let most = self.route_mean(route).map_or(elapsed, hung_time);
        self.times.add(route, elapsed.min(most));
    }

    /// Returns the mean time of this route alone; none while it is not known.
    fn route_mean(&self, route: &RouteId) -> Option<Duration> {
        let mean_s = self.times.route_mean_s(route, MIN_SAMPLE_COUNT);
        mean_s.map(Duration::from_secs_f64)
    }

    /// Records the time of a whole answer.
    pub(super) fn record_answer(
        &mut self,
        now: Instant,
        request: &GuardRequest,
        elapsed: Duration,
    ) {
        self.record_time(&request.route, elapsed);
        let slots_count = self.announcement.slots_count;
        self.cold
            .record_answer(now, &request.route, elapsed, slots_count);
    }

    /// Records the time of a good answer as evidence on whether the server was warm.
    pub(super) fn record_good_answer(&mut self, now: Instant, route: &RouteId, elapsed: Duration) {
        if self.announcement.cold {
            return self.warmth.reported_cold();
        }
        let started_at = now.checked_sub(elapsed).unwrap_or(now);
        if let Some(at) = self.warmth.record_answer(route, started_at, elapsed) {
            self.start_rate.confirm_warm_until(at);
        }
    }

    /// Returns when a run that starts now is ended without an answer: at its deadline, or earlier if
    /// it hangs while another server could still answer.
    pub(super) fn run_until(&self, now: Instant, request: &GuardRequest) -> Instant {
        let Some(hung_after) = request.hung_after else {
            return request.deadline_at;
        };
        let left = request.deadline_at.saturating_duration_since(now);
        let limit = match self.route_mean(&request.route) {
            Some(mean) => run_limit(mean, left),
            None => first_run_limit(hung_after, left),
        };
        limit.map_or(request.deadline_at, |limit| now + limit)
    }

    /// Returns the description of the server that other daemons get.
    pub(super) fn server_entry(&self, takes_work: bool) -> ServerEntry {
        let limit = self.cold_limit();
        let cold = limit.map_or(self.announcement.cold, ColdLimit::is_cold);
        let cold_count = match limit {
            None => (self.announcement.slots_count / COLD_SLOTS_DIVISOR).max(1),
            Some(limit) => limit.limit_count(1).max(1),
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
            draining: self.leaves() || !self.is_confirmed() || !takes_work,
            share_permille: FULL_SHARE_PERMILLE,
            software_version: self.announcement.software_version.clone(),
            rollout_step: self.rollout_step,
        }
    }
}

/// Multiple of a route's typical time from which a missing answer counts against the server.
const OVERDUE_RATIO: f64 = 2.0;

/// Lowest HTTP status that counts as a failure of the server.
pub(super) const FAILURE_STATUS: u16 = 500;

/// Starts per second kept in reserve below the limit, because requests bunch up on their way to
/// the server.
const START_MARGIN_COUNT: usize = 2;

/// Entry daemons that compare servers see the slots of a cold server divided by this, if its cold
/// rate is known.
const COLD_SLOTS_DIVISOR: u32 = 2;
