//! Matches broken calls with deaths of servers, to find requests that may kill their server.

use std::time::{Duration, Instant};

use super::message::{GuardAction, GuardRequest};
use super::poison::PoisonRecord;
use super::server::ServerState;
use crate::link::message::PoisonReport;
use crate::settings::guard::GuardSettings;
use crate::types::{BackendServerId, DaemonId, Fingerprint, ServiceId};

/// Most broken calls that are remembered.
const BROKEN_LIMIT_COUNT: usize = 256;

/// Tracks which requests were running when a server died.
pub(super) struct DeathTracker {
    /// Requests with the deaths of servers while they ran.
    poison: PoisonRecord,
    /// Calls whose server may have died, until `window` has passed.
    broken_calls: Vec<BrokenCall>,
    /// Time after a broken call within which a death of its server is linked to it.
    window: Duration,
}

/// A call whose connection broke before the answer was complete.
pub(super) struct BrokenCall {
    /// Server that was called.
    server: BackendServerId,
    /// Service that the server belongs to.
    service: ServiceId,
    /// Incarnation of the server that the call reached, counted as in `ServerState`.
    incarnation_count: u64,
    /// Fingerprint of the request, by which an equal request is recognised.
    fingerprint: Fingerprint,
    /// When the connection broke.
    broken_at: Instant,
}

impl BrokenCall {
    /// Records that the call of `request` to `server` broke now.
    pub(super) fn new(now: Instant, server: &ServerState, request: &GuardRequest) -> BrokenCall {
        BrokenCall {
            server: request.server.clone(),
            service: server.announcement.service.clone(),
            incarnation_count: server.incarnation_count,
            fingerprint: request.fingerprint,
            broken_at: now,
        }
    }
}

impl DeathTracker {
    /// Creates a tracker without deaths or broken calls.
    pub(super) fn new(settings: &GuardSettings) -> DeathTracker {
        let hold_time = Duration::from_millis(settings.poison_hold_ms);
        DeathTracker {
            poison: PoisonRecord::new(hold_time, settings.poison_death_count),
            broken_calls: Vec::new(),
            window: Duration::from_millis(settings.death_window_ms),
        }
    }

    /// Returns for how much longer the request is refused; `None` if it is not.
    pub(super) fn refused_for(&self, now: Instant, fingerprint: &Fingerprint) -> Option<Duration> {
        self.poison.refused_for(now, fingerprint)
    }

    /// Records deaths that another guard reports.
    pub(super) fn record_report(&mut self, now: Instant, from: &DaemonId, report: &PoisonReport) {
        self.poison.record_report(now, from, report);
    }

    /// Records that a server answered an equal request and survived it.
    pub(super) fn record_survival(&mut self, fingerprint: &Fingerprint) {
        self.poison.record_survival(fingerprint);
    }

    /// Records a broken call whose server may turn out to have died.
    pub(super) fn record_broken(&mut self, now: Instant, call: BrokenCall) {
        self.forget_expired(now);
        if self.broken_calls.len() < BROKEN_LIMIT_COUNT {
            self.broken_calls.push(call);
        }
    }

    /// Records that a call broke because its server died, and returns the report to other guards.
    pub(super) fn record_death(&mut self, now: Instant, call: BrokenCall) -> GuardAction {
        let death = (call.server, call.incarnation_count);
        let report = self.poison.record_death(now, death, call.fingerprint);
        GuardAction::ReportPoison {
            service: call.service,
            reports: vec![report],
        }
    }

    /// Counts the broken calls of a server as deaths, because it has left or restarted.
    pub(super) fn confirm_deaths(
        &mut self,
        now: Instant,
        server: &BackendServerId,
    ) -> Vec<GuardAction> {
        self.forget_expired(now);
        let mut actions = Vec::new();
        for call in std::mem::take(&mut self.broken_calls) {
            if call.server == *server {
                actions.push(self.record_death(now, call));
                continue;
            }
            self.broken_calls.push(call);
        }
        actions
    }

    /// Forgets broken calls and poison entries that are too old.
    pub(super) fn forget_expired(&mut self, now: Instant) {
        let window = self.window;
        self.broken_calls
            .retain(|call| now.saturating_duration_since(call.broken_at) < window);
        self.poison.forget_expired(now);
    }
}
