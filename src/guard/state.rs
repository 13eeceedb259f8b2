//! Decisions of the guard: which request starts, which one waits and which one is refused.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::contradiction::Contradiction;
use super::deaths::{BrokenCall, DeathTracker};
use super::departures::Departures;
use super::inquiry::Inquiries;
use super::load::ServerLoad;
use super::message::{AttemptKey, GuardAction, GuardEvent, GuardRequest, ServerOutcome};
use super::retries::{AttemptKind, RetryWindow};
use super::server::{ServerState, FAILURE_STATUS};
use super::started::StartedRecord;
use crate::contract::View;
use crate::error::ErrorKind;
use crate::incarnation::OwnIncarnations;
use crate::membership::ServerEntry;
use crate::rollout::RolloutRule;
use crate::settings::guard::GuardSettings;
use crate::types::{BackendServerId, Incarnation, ServiceId};
use crate::wire::client::CallError;

/// State from which the guard decides on requests to the servers on this VM.
pub struct GuardState {
    pub(super) settings: GuardSettings,
    /// Incarnations that this process has used. Requests and fences for any other are refused,
    /// because the record of started requests ended with that incarnation.
    pub(super) own_incarnations: OwnIncarnations,
    pub(super) servers: BTreeMap<BackendServerId, ServerState>,
    /// Requests that run; each is counted in the `running_count` of its server.
    pub(super) running: HashMap<AttemptKey, GuardRequest>,
    pub(super) started: StartedRecord,
    pub(super) deaths: DeathTracker,
    pub(super) departures: Departures,
    pub(super) draining: bool,
    /// When the process ends; none while the daemon does not leave the fleet.
    ends_at: Option<Instant>,
    /// Whether the failure domain of this VM is out of service.
    pub(super) domain_out: bool,
    pub(super) view: Arc<View>,
    pub(super) inquiries: Inquiries,
    /// Sign of a server of another service than the settings name.
    pub(super) contradiction: Option<Contradiction>,
    pub(super) retries: RetryWindow,
    /// Rules of the roll-outs in progress; each server's `rollout_step` follows from them.
    pub(super) rollouts: BTreeMap<ServiceId, RolloutRule>,
    /// Guards of the service of the server on this VM, including this one; at least 1.
    pub(super) guard_count: usize,
    /// When a request that a server on this VM made itself last failed.
    own_call_failed_at: Option<Instant>,
    /// When the last request arrived or the drain began, whichever was later.
    pub(super) last_arrival_at: Option<Instant>,
    /// Servers in the last report to membership.
    pub(super) reported_servers: Vec<ServerEntry>,
}

impl GuardState {
    /// Creates a guard that starts with this incarnation and knows no server yet.
    pub fn new(settings: GuardSettings, incarnation: Incarnation) -> GuardState {
        let keep = Duration::from_millis(settings.started_keep_ms);
        GuardState {
            started: StartedRecord::new(keep, settings.started_limit_count),
            deaths: DeathTracker::new(&settings),
            departures: Departures::default(),
            retries: RetryWindow::new(&settings),
            rollouts: BTreeMap::new(),
            guard_count: 1,
            settings,
            own_incarnations: OwnIncarnations::new(incarnation),
            servers: BTreeMap::new(),
            running: HashMap::new(),
            draining: false,
            ends_at: None,
            domain_out: false,
            view: Arc::default(),
            inquiries: Inquiries::default(),
            contradiction: None,
            own_call_failed_at: None,
            last_arrival_at: None,
            reported_servers: Vec::new(),
        }
    }

    /// Handles one event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: GuardEvent) -> Vec<GuardAction> {
        let mut actions = Vec::new();
        self.inquiries.begin(now);
        if matches!(event, GuardEvent::Arrived(_) | GuardEvent::Drain) {
            self.last_arrival_at = Some(now);
        }
        self.apply_rollouts(now, &mut actions);
        match event {
            GuardEvent::Arrived(request) => self.admit(now, request, &mut actions),
            GuardEvent::Finished {
                key,
                outcome,
                elapsed,
            } => self.handle_finish(now, key, outcome, elapsed, &mut actions),
            GuardEvent::Announced(announcement) => {
                self.handle_announcement(now, announcement, &mut actions);
            }
            GuardEvent::Withdrawn {
                server,
                started_at_ms,
            } => self.handle_withdrawal(now, &server, started_at_ms, &mut actions),
            GuardEvent::Domain { out } => self.set_domain_out(now, out, &mut actions),
            GuardEvent::Rollout(rule) => self.set_rollout(now, rule, &mut actions),
            GuardEvent::RolloutEnded(service) => self.end_rollout(now, &service, &mut actions),
            GuardEvent::Fence(fence) => self.handle_fence(now, &fence, &mut actions),
            GuardEvent::Cancel(request) => self.handle_cancel(now, request, &mut actions),
            GuardEvent::EntryLeft(key) => self.handle_entry_left(now, key, &mut actions),
            GuardEvent::PoisonReported { from, reports } => {
                for report in &reports {
                    self.deaths.record_report(now, &from, report);
                }
            }
            GuardEvent::View(view) => {
                self.apply_view(view);
                self.inquire_local(&mut actions);
            }
            GuardEvent::InquiryEnded {
                address,
                asked_at,
                report,
            } => self.handle_inquiry_end(now, (address, asked_at), report, &mut actions),
            GuardEvent::Settings(settings) => self.apply_settings(now, *settings, &mut actions),
            GuardEvent::GuardCount { count } => self.guard_count = count,
            GuardEvent::Incarnation(incarnation) => self.own_incarnations.raise(incarnation),
            GuardEvent::OwnCallFailed => self.own_call_failed_at = Some(now),
            GuardEvent::Tick => self.handle_tick(now, &mut actions),
            GuardEvent::Leaving { ends_at } => self.ends_at = Some(ends_at),
            GuardEvent::Drain => {
                self.draining = true;
                self.refuse_all_waiting(now, ErrorKind::Stopping, &mut actions);
            }
        }
        self.started.forget_expired(now);
        self.report_servers(&mut actions);
        self.report_departures(&mut actions);
        if self.drained_at().is_some_and(|at| now >= at) {
            self.last_arrival_at = None;
            actions.push(GuardAction::Drained);
        }
        actions
    }

    /// Returns the load of a server on this VM; all zero for an unknown server.
    pub fn server_load(&self, now: Instant, server: &str) -> ServerLoad {
        let Some(server) = self.servers.get(server) else {
            return ServerLoad::default();
        };
        ServerLoad {
            running_count: server.running_count,
            limit_count: server.limit_count(),
            waiting_count: server.queue.len(),
            start_blocker: server.start_blocker(now),
        }
    }

    /// Starts the request, queues it or refuses it.
    fn admit(&mut self, now: Instant, request: GuardRequest, actions: &mut Vec<GuardAction>) {
        let key = request.key();
        let mut refuse = |kind, retry_after| {
            actions.push(GuardAction::Refuse {
                key,
                kind,
                retry_after,
            });
        };
        if self.draining {
            return refuse(ErrorKind::Stopping, None);
        }
        if self.domain_out || !self.own_incarnations.contains(request.incarnation) {
            return refuse(ErrorKind::NoServer, None);
        }
        if now >= request.deadline_at {
            return refuse(ErrorKind::DeadlineUnmeetable, None);
        }
        if let Some(left) = self.deaths.refused_for(now, &request.fingerprint) {
            return refuse(ErrorKind::PoisonRequest, Some(left));
        }
        let server = self.servers.get_mut(&request.server);
        let Some(server) = server.filter(|server| server.takes_work()) else {
            return refuse(ErrorKind::NoServer, None);
        };
        if server.announcement.service != request.service {
            return refuse(ErrorKind::ServerReplaced, None);
        }
        let terms = request.terms;
        let passes = terms.last_resort && server.breaker.admits_last_resort(request.repeatable);
        if !passes && !server.breaker.admits(now, terms.may_probe) {
            let retry_after = server.breaker.retry_after(now);
            return refuse(ErrorKind::ServerTripped, retry_after);
        }
        let kind = AttemptKind::of(&request);
        if kind == AttemptKind::Repeat && !self.retries.admits(now, self.guard_count) {
            return refuse(ErrorKind::RetriesSpent, None);
        }
        let must_wait = !server.has_free_slot(now) || !server.queue.is_empty();
        let refusal = server.wait_refusal(now, &request, must_wait, self.ends_at);
        if let Some((kind, retry_after)) = refusal {
            return refuse(kind, retry_after);
        }
        if let Err(kind) = self.started.admit(key, request.repeatable) {
            return refuse(kind, None);
        }
        let name = request.server.clone();
        if !must_wait {
            return self.start_request(now, &name, request, actions);
        }
        if let Some(shed) = server.queue.push(request) {
            let wait = server.expected_wait(&shed);
            self.refuse(now, shed.key(), ErrorKind::Busy, Some(wait), actions);
        }
        self.start_waiting(now, &name, actions);
    }

    fn start_request(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        request: GuardRequest,
        actions: &mut Vec<GuardAction>,
    ) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let key = request.key();
        server.running_count += 1;
        server.breaker.record_start();
        server.start_rate.record_start(now);
        self.started.record_start(key);
        let kind = AttemptKind::of(&request);
        self.retries.record_start(now, kind);
        // Calls that servers make of each other carry no organisation and make no further calls.
        if kind == AttemptKind::Repeat && !request.organisation.is_empty() {
            actions.push(GuardAction::RepeatStarted);
        }
        actions.push(GuardAction::Start {
            key,
            address: server.announcement.address,
            until: server.run_until(now, &request),
        });
        self.running.insert(key, request);
    }

    /// Refuses a request that was admitted and has not started yet.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        key: AttemptKey,
        kind: ErrorKind,
        retry_after: Option<Duration>,
        actions: &mut Vec<GuardAction>,
    ) {
        self.started.record_refusal(now, key);
        actions.push(GuardAction::Refuse {
            key,
            kind,
            retry_after,
        });
    }

    /// Starts waiting requests of a server while it has free slots.
    pub(super) fn start_waiting(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        actions: &mut Vec<GuardAction>,
    ) {
        loop {
            let Some(server) = self.servers.get_mut(name) else {
                return;
            };
            if !server.has_free_slot(now) {
                return;
            }
            let Some(next) = server.queue.pop() else {
                return;
            };
            if now >= next.deadline_at {
                self.refuse(
                    now,
                    next.key(),
                    ErrorKind::DeadlineUnmeetable,
                    None,
                    actions,
                );
                continue;
            }
            if let Some(left) = self.deaths.refused_for(now, &next.fingerprint) {
                self.refuse(
                    now,
                    next.key(),
                    ErrorKind::PoisonRequest,
                    Some(left),
                    actions,
                );
                continue;
            }
            self.start_request(now, name, next, actions);
        }
    }

    fn handle_finish(
        &mut self,
        now: Instant,
        key: AttemptKey,
        outcome: ServerOutcome,
        elapsed: Duration,
        actions: &mut Vec<GuardAction>,
    ) {
        let Some(request) = self.running.remove(&key) else {
            return;
        };
        self.started.record_end(now, key);
        let name = request.server.clone();
        let Some(server) = self.servers.get_mut(&name) else {
            return;
        };
        server.running_count = server.running_count.saturating_sub(1);
        let own_calls_fail = self
            .own_call_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < OWN_CALL_FAILURE_WINDOW);
        server.record_call_end(now, &request.route, outcome, elapsed, own_calls_fail);
        let broken = !server.breaker.admits(now, false);
        match outcome {
            ServerOutcome::Answered(SHED_STATUS) => server.cold.record_failure(now),
            ServerOutcome::Answered(status) => {
                server.record_answer(now, &request, elapsed);
                if status < FAILURE_STATUS {
                    server.record_good_answer(now, &request.route, elapsed);
                }
                self.deaths.record_survival(&request.fingerprint);
            }
            ServerOutcome::Failed(CallError::Late) => {
                server.record_time(&request.route, elapsed);
                server.cold.record_timeout(now);
            }
            ServerOutcome::Failed(CallError::NotSent) => server.cold.record_failure(now),
            ServerOutcome::Failed(CallError::Broken) => {
                server.cold.record_failure(now);
                let call = BrokenCall::new(now, server, &request);
                self.deaths.record_broken(now, call);
            }
            ServerOutcome::Shed => server.cold.record_failure(now),
            ServerOutcome::Replaced => self.mark_gone(now, &name, actions),
            ServerOutcome::Died | ServerOutcome::Failed(CallError::Died) => {
                server.cold.record_failure(now);
                let call = BrokenCall::new(now, server, &request);
                actions.push(self.deaths.record_death(now, call));
                self.mark_gone(now, &name, actions);
            }
            ServerOutcome::Failed(_) | ServerOutcome::Abandoned => {}
        }
        if broken {
            self.refuse_waiting(now, &name, ErrorKind::ServerTripped, actions);
        }
        self.start_waiting(now, &name, actions);
    }
}

/// A failed answer this soon after a failed call of the server's own is attributed to that call.
const OWN_CALL_FAILURE_WINDOW: Duration = Duration::from_millis(500);
/// HTTP status with which servers shed load.
const SHED_STATUS: u16 = 503;
