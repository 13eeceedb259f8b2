//! Which requests were running when a server died.

use std::time::{Duration, Instant};

use super::message::{GuardAction, GuardRequest};
use super::poison::PoisonRecord;
use super::server::ServerState;
use crate::link::message::PoisonReport;
use crate::settings::guard::GuardSettings;
use crate::types::{BackendServerId, DaemonId, Fingerprint, ServiceId};

/// Broken calls that are remembered at most.
const BROKEN_LIMIT_COUNT: usize = 256;

/// Ties broken calls to deaths of servers.
pub(super) struct DeathWatch {
    poison: PoisonRecord,
    /// Calls whose server may have died, until the window ends.
    broken: Vec<BrokenCall>,
    window: Duration,
}

/// A call that broke off.
pub(super) struct BrokenCall {
    server: BackendServerId,
    service: ServiceId,
    incarnation_count: u64,
    fingerprint: Fingerprint,
    at: Instant,
}

impl BrokenCall {
    pub(super) fn new(now: Instant, server: &ServerState, request: &GuardRequest) -> BrokenCall {
        BrokenCall {
            server: request.server.clone(),
            service: server.announcement.service.clone(),
            incarnation_count: server.incarnation_count,
            fingerprint: request.fingerprint,
            at: now,
        }
    }
}

impl DeathWatch {
    pub(super) fn new(settings: &GuardSettings) -> DeathWatch {
        let hold = Duration::from_millis(settings.poison_hold_ms);
        DeathWatch {
            poison: PoisonRecord::new(hold, settings.poison_death_count),
            broken: Vec::new(),
            window: Duration::from_millis(settings.death_window_ms),
        }
    }

    /// Whether the request must be refused, and for how long yet.
    pub(super) fn refused_for(&self, now: Instant, fingerprint: &Fingerprint) -> Option<Duration> {
        self.poison.refused_for(now, fingerprint)
    }

    /// Another guard reports deaths.
    pub(super) fn reported(&mut self, now: Instant, from: &DaemonId, report: &PoisonReport) {
        self.poison.reported(now, from, report);
    }

    /// A server answered an equal request.
    pub(super) fn survived(&mut self, fingerprint: &Fingerprint) {
        self.poison.survived(fingerprint);
    }

    /// A call broke; its server may turn out to have died.
    pub(super) fn broken(&mut self, now: Instant, call: BrokenCall) {
        self.lapse(now);
        if self.broken.len() < BROKEN_LIMIT_COUNT {
            self.broken.push(call);
        }
    }

    /// A call broke because its server died.
    pub(super) fn died(&mut self, now: Instant, call: BrokenCall) -> GuardAction {
        let death = (call.server, call.incarnation_count);
        let report = self.poison.died(now, death, call.fingerprint);
        GuardAction::ReportPoison {
            service: call.service,
            reports: vec![report],
        }
    }

    /// The server's announcement ended or a new life began: its broken calls met a death.
    pub(super) fn confirm(&mut self, now: Instant, server: &BackendServerId) -> Vec<GuardAction> {
        self.lapse(now);
        let mut actions = Vec::new();
        for call in std::mem::take(&mut self.broken) {
            if call.server == *server {
                actions.push(self.died(now, call));
                continue;
            }
            self.broken.push(call);
        }
        actions
    }

    /// Forgets what is too old.
    pub(super) fn lapse(&mut self, now: Instant) {
        let window = self.window;
        self.broken
            .retain(|call| now.saturating_duration_since(call.at) < window);
        self.poison.lapse(now);
    }
}
