//! The watch on one backend server: its request counts, its detectors and its ejection state.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::baseline::{Expected, PeerBaseline};
use super::detector::{make_detector, Detector};
use super::ejection_state::{EjectionState, RouteAlarm};
use super::message::{FailureKind, RequestEnd, RouteSummary, ServerSummary};
use super::shift::Shift;
use super::window::{Observation, RouteWindow};
use crate::membership::ServerEntry;
use crate::settings::health::HealthSettings;
use crate::types::{BackendServerId, RouteId, ServiceId};

/// Most routes that are watched per server; the quietest is dropped for a new one.
const ROUTE_LIMIT_COUNT: usize = 64;

/// How long a report of a health or load endpoint counts.
const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// Time after a crash during which failed connections are no evidence.
const DEATH_GRACE: Duration = Duration::from_secs(3);

/// Counts and detector of one route.
struct RouteTrack {
    window: RouteWindow,
    detector: Box<dyn Detector>,
    /// Shares expected of a healthy server; updated with each summary of a peer.
    expected: Expected,
}

/// An ejection permit that a server holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldPermit {
    /// When the permit was last granted or renewed.
    pub granted_at: Instant,
    /// When the permit expires unless it is renewed.
    pub holds_until: Instant,
    /// When its renewal was last requested.
    pub renewed_at: Instant,
}

/// Everything that health knows of one backend server: its state, permit and evidence.
pub struct Watch {
    /// Id of the backend server.
    pub server: BackendServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Whether the server is on this VM now; the watch is kept for a while after it left.
    pub present: bool,
    /// Whether the server has been cold since it came into service; slowness is then no evidence.
    /// A server that turns cold later is compared with its peers like any other.
    pub cold: bool,
    /// Whether the server is draining and takes no new requests.
    pub draining: bool,
    /// State between full service and ejection.
    pub ejection_state: EjectionState,
    /// Ejection permit, while the server holds one.
    pub permit: Option<HeldPermit>,
    /// Number of ejections without a long healthy time between them.
    pub ejection_count: u32,
    /// Length of the last wait before probes.
    pub backoff: Duration,
    /// When the server last returned to full service, or left this VM.
    pub returned_at: Option<Instant>,
    /// When trouble shared with its peers was last recorded.
    pub shared_at: Option<Instant>,
    /// Route that the server was ejected for; probes on other routes do not count as good.
    pub probe_route: Option<RouteId>,
    /// Until when the last report of a health or load endpoint counts.
    suspicion_until: Option<Instant>,
    /// When the server process last crashed.
    died_at: Option<Instant>,
    /// Counts and detectors by route, at most `ROUTE_LIMIT_COUNT`.
    tracks: BTreeMap<RouteId, RouteTrack>,
    /// Evaluates the requests of all routes together.
    overall_detector: Box<dyn Detector>,
}

impl Watch {
    /// Creates the watch on a server in full service.
    pub fn new(settings: &HealthSettings, server: BackendServerId, service: ServiceId) -> Watch {
        Watch {
            server,
            service,
            present: true,
            cold: true,
            draining: false,
            ejection_state: EjectionState::InService,
            permit: None,
            ejection_count: 0,
            backoff: Duration::ZERO,
            returned_at: None,
            shared_at: None,
            probe_route: None,
            suspicion_until: None,
            died_at: None,
            tracks: BTreeMap::new(),
            overall_detector: make_detector(settings),
        }
    }

    /// Takes the guard's report on the server; `None` if the server is not on this VM.
    pub fn reported(&mut self, now: Instant, entry: Option<&ServerEntry>) {
        let Some(entry) = entry else {
            if self.present {
                self.returned_at = Some(now);
            }
            self.present = false;
            return;
        };
        let comes_into_service = !self.present || (self.draining && !entry.draining);
        self.cold = entry.cold && (self.cold || comes_into_service);
        self.present = true;
        self.draining = entry.draining;
    }

    /// Takes a report of a problem by a health or load endpoint.
    pub fn suspect(&mut self, now: Instant) {
        self.suspicion_until = Some(now + SUSPICION_TTL);
    }

    /// Returns the outcome of a request as evidence: a crash, and a failed connection soon after
    /// it, become neutral.
    pub fn end_after_death(&mut self, now: Instant, end: RequestEnd) -> RequestEnd {
        if end == RequestEnd::Died {
            self.died_at = Some(now);
            return RequestEnd::Neutral;
        }
        let is_new = |at: Instant| now.saturating_duration_since(at) < DEATH_GRACE;
        let no_connection = end == RequestEnd::Failed(FailureKind::Connect);
        if no_connection && self.died_at.is_some_and(is_new) {
            return RequestEnd::Neutral;
        }
        end
    }

    /// Returns the shares expected of a healthy server on a route.
    pub fn expected(&self, route: &RouteId) -> Expected {
        self.tracks
            .get(route)
            .map_or_else(Expected::default, |track| track.expected)
    }

    /// Counts one request, and passes it to the detectors if the server is watched.
    pub fn observe(
        &mut self,
        settings: &HealthSettings,
        baseline: &PeerBaseline,
        route: &RouteId,
        observation: &Observation,
    ) {
        self.evict_quietest_route(route);
        let server = &self.server;
        let track = self
            .tracks
            .entry(route.clone())
            .or_insert_with(|| RouteTrack {
                window: RouteWindow::default(),
                detector: make_detector(settings),
                expected: baseline.expected(server, route, None),
            });
        track.window.observe(observation);
        if !self.ejection_state.is_watched() {
            return;
        }
        let mut observation = *observation;
        let mut expected = track.expected;
        if self.cold {
            observation.slow = false;
            expected.shift = Shift::default();
        }
        track.detector.observe(&observation, &expected);
        self.overall_detector.observe(&observation, &expected);
    }

    /// Drops the quietest route if the limit is reached and the given route is new.
    fn evict_quietest_route(&mut self, route: &RouteId) {
        if self.tracks.len() < ROUTE_LIMIT_COUNT || self.tracks.contains_key(route) {
            return;
        }
        let weight = |track: &RouteTrack| track.window.weight();
        let quietest = self
            .tracks
            .iter()
            .min_by(|(_, a), (_, b)| weight(a).total_cmp(&weight(b)))
            .map(|(name, _)| name.clone());
        if let Some(quietest) = quietest {
            self.tracks.remove(&quietest);
        }
    }

    /// Returns the alarm of all routes together, or else the first alarm of a route. `scale` below
    /// 1 requires less evidence; `suspicion_scale_share` lowers it further after an endpoint has
    /// reported a problem.
    pub fn alarm(
        &self,
        now: Instant,
        suspicion_scale_share: f64,
        scale: f64,
    ) -> Option<RouteAlarm> {
        let suspected = self.suspicion_until.is_some_and(|until| now < until);
        let scale = if suspected {
            scale * suspicion_scale_share
        } else {
            scale
        };
        if let Some(alarm) = self.overall_detector.alarm(now, scale) {
            return Some(RouteAlarm { alarm, route: None });
        }
        for (route, track) in &self.tracks {
            if let Some(alarm) = track.detector.alarm(now, scale) {
                let route = Some(route.clone());
                return Some(RouteAlarm { alarm, route });
            }
        }
        None
    }

    /// Returns whether the evidence of an alarm holds against the recent figures of peers.
    pub fn confirm(&self, route_alarm: &RouteAlarm, baseline: &PeerBaseline) -> bool {
        match &route_alarm.route {
            Some(route) => {
                let Some(track) = self.tracks.get(route) else {
                    return false;
                };
                let fresh = baseline.raised_to_recent(&self.server, Some(route), track.expected);
                track.detector.confirm(&fresh)
            }
            None => self.overall_detector.confirm(&self.mean_expected(baseline)),
        }
    }

    /// Returns the mean of the expected shares over all routes, weighted by their requests.
    fn mean_expected(&self, baseline: &PeerBaseline) -> Expected {
        let total: f64 = self.tracks.values().map(|t| t.window.weight()).sum();
        if total <= 0.0 {
            return Expected::default();
        }
        let mut mean = Expected {
            failed_share: 0.0,
            slow_share: 0.0,
            stuck_share: 0.0,
            shift: Shift {
                share: 0.0,
                ..Default::default()
            },
            ..Default::default()
        };
        for (route, track) in &self.tracks {
            let weight = track.window.weight() / total;
            let fresh = baseline.raised_to_recent(&self.server, Some(route), track.expected);
            mean.failed_share += fresh.failed_share * weight;
            mean.slow_share += fresh.slow_share * weight;
            mean.stuck_share += fresh.stuck_share * weight;
            mean.shift.share += fresh.shift.share * weight;
        }
        mean
    }

    /// Updates the expected shares from the newest figures of peers.
    pub fn renew_expected(&mut self, baseline: &PeerBaseline) {
        for (route, track) in &mut self.tracks {
            let kept_bucket = track.expected.slow_bucket;
            let expected = baseline.expected(&self.server, route, kept_bucket);
            track.expected = baseline.raised_to_recent(&self.server, Some(route), expected);
            if track.expected.slow_bucket == kept_bucket {
                continue;
            }
            // Requests that were slow by the old threshold can't be compared with shares at the new
            // one.
            track.detector.forget_times();
            self.overall_detector.forget_times();
        }
    }

    /// Drops all evidence of all detectors.
    pub fn reset(&mut self) {
        self.overall_detector.reset();
        for track in self.tracks.values_mut() {
            track.detector.reset();
        }
    }

    /// Returns the request counts of the server on its busiest routes.
    pub fn summary(&mut self, now: Instant, route_limit_count: usize) -> ServerSummary {
        let mut routes: Vec<RouteSummary> = Vec::new();
        for (route, track) in &mut self.tracks {
            routes.push(track.window.summary(now, route));
        }
        routes.retain(|route| route.long.seen_count > 0);
        routes.sort_by_key(|route| std::cmp::Reverse(route.long.seen_count));
        routes.truncate(route_limit_count);
        ServerSummary {
            server: self.server.clone(),
            routes,
        }
    }
}
