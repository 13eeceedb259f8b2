//! State machine of health: collects evidence about the servers on this VM, checks alarms against
//! the figures of peers, and decides on ejection and return. Does no I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;

use super::baseline::PeerBaseline;
use super::ejection::{decision, permit_request, share_action};
use super::ejection_state::EjectionState;
use super::message::{
    HealthAction, HealthEvent, HealthVerdict, RequestEnd, ServerSummary, StartedRequest,
};
use super::peers::PeerRotation;
use super::running::RunningRequest;
use super::watch::Watch;
use super::window::Observation;
use crate::guard::message::AttemptKey;
use crate::membership::ServerEntry;
use crate::settings::health::HealthSettings;
use crate::types::{BackendServerId, DaemonId, RouteId, ServiceId};

/// Interval of checking the running requests.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time that peers have to answer before an alarm is decided with the answers received so far.
const ANSWER_WAIT: Duration = Duration::from_millis(200);

/// Least time between two records of trouble that a server shares with its peers.
const SHARED_TROUBLE_INTERVAL: Duration = Duration::from_secs(60);

/// Evidence required for an alarm while a server returns, as a share of the normal limit.
pub(super) const RETURNING_SCALE: f64 = 0.5;

/// Watches over the servers on this VM, with the running requests and the figures of peers.
pub struct HealthState {
    pub(super) settings: HealthSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) watches: BTreeMap<BackendServerId, Watch>,
    /// Requests that are running at the servers.
    running: HashMap<AttemptKey, RunningRequest>,
    /// Figures of the other servers, by service.
    baselines: BTreeMap<ServiceId, PeerBaseline>,
    /// Peers whose summaries are requested in turn.
    peers: PeerRotation,
    /// When summaries were last requested from peers in the periodic round.
    asked_at: Option<Instant>,
    /// When the last tick was handled.
    ticked_at: Option<Instant>,
}

impl HealthState {
    /// Creates the state of a daemon that knows no server yet.
    pub fn new(settings: HealthSettings, own: DaemonId, random: ChaCha8Rng) -> HealthState {
        HealthState {
            settings,
            random,
            watches: BTreeMap::new(),
            running: HashMap::new(),
            baselines: BTreeMap::new(),
            peers: PeerRotation::new(own),
            asked_at: None,
            ticked_at: None,
        }
    }

    /// Returns when the next `Tick` is due; `None` while there are no servers.
    pub fn next_tick_at(&self) -> Option<Instant> {
        if self.watches.is_empty() {
            return None;
        }
        let quiet = |watch: &Watch| watch.ejection_state == EjectionState::InService;
        let idle = self.running.is_empty() && self.watches.values().all(quiet);
        let period = if idle {
            self.ask_period()
        } else {
            TICK_INTERVAL
        };
        self.ticked_at.map(|at| at + period)
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: HealthEvent) -> Vec<HealthAction> {
        self.ticked_at.get_or_insert(now);
        let mut actions = Vec::new();
        match event {
            HealthEvent::Started(started) => self.start_request(now, started),
            HealthEvent::Finished { key, end, elapsed } => {
                self.finish_request(now, key, end, elapsed, &mut actions);
            }
            HealthEvent::Servers(servers) => self.update_servers(now, servers, &mut actions),
            HealthEvent::Suspicion { server } => {
                if let Some(watch) = self.watches.get_mut(&server) {
                    watch.suspect(now);
                }
            }
            HealthEvent::Summary {
                service, servers, ..
            } => self.receive_summary(now, &service, &servers, &mut actions),
            HealthEvent::Permit {
                server,
                holds_until,
                ..
            } => self.receive_permit(now, &server, holds_until, &mut actions),
            HealthEvent::View(_) => {}
            HealthEvent::Fleet(fleet) => self.peers.set_fleet(fleet),
            HealthEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns the summaries of the servers of a service on this VM, for a peer that requests them.
    pub fn summarise(&mut self, now: Instant, service: &ServiceId) -> Vec<ServerSummary> {
        let limit = self.settings.summary_route_limit_count;
        let mut summaries = Vec::new();
        for watch in self.watches.values_mut() {
            if watch.service != *service || !watch.present || !watch.ejection_state.is_watched() {
                continue;
            }
            summaries.push(watch.summary(now, limit));
        }
        summaries
    }

    /// Returns the interval of requesting summaries from peers.
    fn ask_period(&self) -> Duration {
        Duration::from_millis(self.settings.ask_period_ms)
    }

    fn start_request(&mut self, now: Instant, started: StartedRequest) {
        let StartedRequest {
            key, server, route, ..
        } = started;
        if !self.watches.contains_key(&server) {
            return;
        }
        let running = RunningRequest::new(server, route, now);
        self.running.insert(key, running);
    }

    fn finish_request(
        &mut self,
        now: Instant,
        key: AttemptKey,
        end: RequestEnd,
        elapsed: Duration,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        let Some(watch) = self.watches.get_mut(&running.server) else {
            return;
        };
        let end = watch.end_after_death(now, end);
        let expected = watch.expected(&running.route);
        let Some(observation) = running.observe_end(now, end, elapsed, &expected) else {
            return;
        };
        self.observe(now, &running.server, &running.route, observation, actions);
    }

    /// Passes an observation to the watch of its server, and checks whether it changes its state.
    fn observe(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        route: &RouteId,
        observation: Observation,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        let baseline = self.baselines.entry(watch.service.clone()).or_default();
        watch.observe(&self.settings, baseline, route, &observation);
        match &mut watch.ejection_state {
            EjectionState::InService => self.evaluate(now, server, 1.0, actions),
            EjectionState::Probing {
                good_count,
                bad_count,
            } => {
                let elsewhere = watch.probe_route.as_ref().is_some_and(|r| r != route);
                if observation.is_bad() {
                    *bad_count += 1;
                } else if !elsewhere {
                    *good_count += 1;
                }
                self.evaluate_probes(now, server, actions);
            }
            EjectionState::Returning { seen_count, .. } => {
                *seen_count += 1;
                self.evaluate(now, server, RETURNING_SCALE, actions);
            }
            _ => {}
        }
    }

    /// Raises an alarm if the evidence is strong enough: ejects a server that holds a permit, and
    /// requests the figures of peers for any other. `scale` below 1 requires less evidence.
    pub(super) fn evaluate(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        scale: f64,
        actions: &mut Vec<HealthAction>,
    ) {
        let suspicion = self.settings.suspicion_scale_share;
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        let Some(route_alarm) = watch.alarm(now, suspicion, scale) else {
            return;
        };
        if watch.ejection_state.needs_permit() {
            // It still holds its permit: a relapse while it returns needs no second check.
            self.eject(now, server, &route_alarm, actions);
            return;
        }
        let service = watch.service.clone();
        self.add_local_summaries(now, &service);
        let asked = self
            .peers
            .next_peers(&service, self.settings.ask_limit_count);
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        watch.ejection_state = EjectionState::Checking {
            route_alarm,
            asked_at: now,
            asked_count: asked.len(),
        };
        for (to, service) in asked {
            actions.push(HealthAction::RequestSummary { to, service });
        }
    }

    /// Adds the figures of the servers on this VM to the baseline, if there are at least two, since
    /// they are peers of each other too.
    fn add_local_summaries(&mut self, now: Instant, service: &ServiceId) {
        let of_service = |watch: &&Watch| watch.service == *service;
        if self.watches.values().filter(of_service).count() < 2 {
            return;
        }
        let summaries = self.summarise(now, service);
        let baseline = self.baselines.entry(service.clone()).or_default();
        for summary in &summaries {
            baseline.add_summary(now, summary);
        }
    }

    /// Takes the summaries of a peer, and rechecks the servers of their service.
    fn receive_summary(
        &mut self,
        now: Instant,
        service: &ServiceId,
        summaries: &[ServerSummary],
        actions: &mut Vec<HealthAction>,
    ) {
        let baseline = self.baselines.entry(service.clone()).or_default();
        for summary in summaries {
            baseline.add_summary(now, summary);
        }
        for watch in self.watches.values_mut() {
            if watch.service == *service {
                watch.renew_expected(baseline);
            }
        }
        for server in self.local_servers(service) {
            self.check_alarm(now, &server, actions);
        }
    }

    fn local_servers(&self, service: &ServiceId) -> Vec<BackendServerId> {
        let of_service = |watch: &&Watch| watch.service == *service;
        let name = |watch: &Watch| watch.server.clone();
        self.watches.values().filter(of_service).map(name).collect()
    }

    /// Checks an alarm against the recent figures of peers, once enough of them have answered.
    /// Requests a permit if the alarm is confirmed, and drops it otherwise.
    fn check_alarm(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        let EjectionState::Checking {
            route_alarm,
            asked_at,
            asked_count,
        } = &watch.ejection_state
        else {
            return;
        };
        let Some(baseline) = self.baselines.get(&watch.service) else {
            return;
        };
        let reported_count = baseline.reported_since_count(*asked_at, server);
        let waited = now.saturating_duration_since(*asked_at) >= ANSWER_WAIT;
        let enough_count = (*asked_count).clamp(1, 2);
        if reported_count < *asked_count && !(waited && reported_count >= enough_count) {
            return;
        }
        if reported_count == 0 {
            return;
        }
        let route_alarm = route_alarm.clone();
        if watch.confirm(&route_alarm, baseline) {
            watch.ejection_state = EjectionState::AwaitingPermit {
                route_alarm,
                asked_at: now,
                denied: false,
            };
            actions.push(permit_request(watch));
            return;
        }
        watch.reset();
        watch.ejection_state = EjectionState::InService;
        let quiet = |at: Instant| now.saturating_duration_since(at) < SHARED_TROUBLE_INTERVAL;
        if watch.shared_at.is_some_and(quiet) {
            return;
        }
        watch.shared_at = Some(now);
        actions.push(decision(watch, HealthVerdict::SharedTrouble, &route_alarm));
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<HealthAction>) {
        self.ticked_at = Some(now);
        self.observe_running(now, actions);
        let names: Vec<BackendServerId> = self.watches.keys().cloned().collect();
        for server in names {
            self.check_alarm(now, &server, actions);
            self.advance(now, &server, actions);
        }
        let due = |at: Instant| now.saturating_duration_since(at) >= self.ask_period();
        if self.asked_at.is_none_or(due) {
            self.asked_at = Some(now);
            self.request_summaries(now, actions);
        }
    }

    /// Observes running requests that exceed the thresholds, as evidence before their end.
    fn observe_running(&mut self, now: Instant, actions: &mut Vec<HealthAction>) {
        let mut seen = Vec::new();
        let stuck = self.count_stuck(now);
        for running in self.running.values_mut() {
            let Some(watch) = self.watches.get(&running.server) else {
                continue;
            };
            let expected = watch.expected(&running.route);
            let with_others = stuck.get(&running.server).is_some_and(|count| *count > 1);
            let Some(observation) = running.observe_unfinished(now, &expected, with_others) else {
                continue;
            };
            seen.push((running.server.clone(), running.route.clone(), observation));
        }
        // The iteration order of a hash map differs from run to run; evidence needs a fixed order.
        seen.sort_by(|a, b| (&a.0, &a.1, a.2.elapsed).cmp(&(&b.0, &b.1, b.2.elapsed)));
        for (server, route, observation) in seen {
            self.observe(now, &server, &route, observation, actions);
        }
    }

    /// Returns the number of stuck requests by server.
    fn count_stuck(&self, now: Instant) -> BTreeMap<BackendServerId, usize> {
        let mut stuck = BTreeMap::new();
        for running in self.running.values() {
            let Some(watch) = self.watches.get(&running.server) else {
                continue;
            };
            if running.is_stuck(now, &watch.expected(&running.route)) {
                *stuck.entry(running.server.clone()).or_default() += 1;
            }
        }
        stuck
    }

    /// Requests summaries from the next peers, for the services of the servers on this VM.
    fn request_summaries(&mut self, now: Instant, actions: &mut Vec<HealthAction>) {
        let mut services: Vec<ServiceId> = Vec::new();
        for watch in self.watches.values() {
            if watch.present && !services.contains(&watch.service) {
                services.push(watch.service.clone());
            }
        }
        for service in &services {
            self.add_local_summaries(now, service);
        }
        let asked = self
            .peers
            .next_peers_of(&services, self.settings.ask_limit_count);
        for (to, service) in asked {
            actions.push(HealthAction::RequestSummary { to, service });
        }
    }

    /// Takes the current servers on this VM: updates, adds and drops watches.
    fn update_servers(
        &mut self,
        now: Instant,
        servers: Vec<ServerEntry>,
        actions: &mut Vec<HealthAction>,
    ) {
        for watch in self.watches.values_mut() {
            let entry = servers.iter().find(|entry| entry.server == watch.server);
            watch.reported(now, entry);
        }
        for entry in servers {
            let name = entry.server.clone();
            if let Some(watch) = self.watches.get(&name) {
                if watch.ejection_state.needs_permit() {
                    actions.push(share_action(&self.settings, watch));
                }
                continue;
            }
            let mut watch = Watch::new(&self.settings, name.clone(), entry.service.clone());
            watch.reported(now, Some(&entry));
            self.watches.insert(name, watch);
        }
        self.forget(now);
        let service = |watch: &Watch| watch.service.clone();
        let services = self.watches.values().map(service).collect();
        self.peers.set_services(services);
    }

    /// Drops the watches of servers that left long ago, and the requests of servers that left.
    fn forget(&mut self, now: Instant) {
        let kept = Duration::from_millis(self.settings.backoff_limit_ms);
        let is_old = |at: Instant| now.saturating_duration_since(at) >= kept;
        self.watches
            .retain(|_, watch| watch.present || !watch.returned_at.is_some_and(is_old));
        let watches = &self.watches;
        self.running
            .retain(|_, running| watches.get(&running.server).is_some_and(|w| w.present));
    }
}
