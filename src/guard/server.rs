//! One backend server beside this daemon: its announcement, its slots and who waits for them.

use std::time::{Duration, Instant};

use super::cold::{ColdLimit, ColdSettings};
use super::message::{Announcement, GuardRequest};
use super::queue::FairQueue;
use super::times::RouteTimes;
use crate::membership::message::FULL_SHARE_PERMILLE;
use crate::membership::ServerEntry;
use crate::settings::guard::GuardSettings;

/// Answers before waits are foretold.
const LEAST_SAMPLE_COUNT: u32 = 8;

/// State of one server. It outlives a lapsed announcement, so that a server that comes back is
/// judged by its former latency.
pub(super) struct ServerState {
    pub(super) announcement: Announcement,
    pub(super) renewed_at: Instant,
    /// Whether its announcement lapsed or was withdrawn.
    pub(super) gone: bool,
    /// Counts its lives, by announcements and deaths.
    pub(super) life_count: u64,
    /// Above the limit only right after the limit fell.
    pub(super) running_count: u32,
    pub(super) queue: FairQueue,
    pub(super) cold: ColdLimit,
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
            cold.told_cold(now);
        }
        ServerState {
            announcement,
            renewed_at: now,
            gone: false,
            life_count: 1,
            running_count: 0,
            queue: FairQueue::new(settings.queue_count),
            cold,
            times: RouteTimes::default(),
        }
    }

    /// Takes a new announcement. Says whether a new life of the server began.
    pub(super) fn renew(&mut self, now: Instant, announcement: Announcement) -> bool {
        let named = announcement.started_at_ms != 0 && self.announcement.started_at_ms != 0;
        let same_life = named && announcement.started_at_ms == self.announcement.started_at_ms;
        let new_life = (self.gone || named) && !same_life;
        let told_cold = announcement.cold && !self.announcement.cold;
        if new_life {
            self.life_count += 1;
        }
        if told_cold || (new_life && announcement.cold) {
            self.cold.told_cold(now);
        } else if new_life {
            self.cold.turn_cold(now);
        }
        self.announcement = announcement;
        self.renewed_at = now;
        self.gone = false;
        new_life
    }

    /// Requests at a time, at present.
    pub(super) fn limit_count(&self) -> u32 {
        self.cold.limit_count(self.announcement.slots_count)
    }

    /// Whether it may be given new work, as far as it says itself.
    pub(super) fn takes_work(&self) -> bool {
        !self.gone && !self.announcement.draining
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.running_count < self.limit_count()
    }

    /// Takes the time of a whole answer.
    pub(super) fn answered(&mut self, now: Instant, request: &GuardRequest, elapsed: Duration) {
        self.times.add(&request.route, elapsed);
        let slots_count = self.announcement.slots_count;
        self.cold
            .answered(now, &request.route, elapsed, slots_count);
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
        let cold = self.cold.is_cold();
        let cold_count = self.cold.limit_count(1).max(1);
        ServerEntry {
            server: self.announcement.server.clone(),
            service: self.announcement.service.clone(),
            slots_count: if cold {
                cold_count
            } else {
                self.announcement.slots_count
            },
            cold,
            draining: self.announcement.draining || !takes_work,
            share_permille: FULL_SHARE_PERMILLE,
        }
    }
}

const MAX_WAIT_S: f64 = 3600.0;
