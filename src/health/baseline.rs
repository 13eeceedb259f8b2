//! What the other servers of a service meet: the yardstick for one server.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::histogram::{bucket_bound, bucket_of, quantile_bucket};
use super::message::ServerSummary;
use super::shift::Shift;
use super::window::Counts;
use crate::types::{BackendServerId, RouteId};

/// Shares of trouble that a healthy server of the service is expected to meet, and the marks that
/// sort request times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expected {
    /// Share of requests that fail.
    pub failed_share: f64,
    /// Share of requests above the slow mark.
    pub slow_share: f64,
    /// Share of requests above the stuck mark.
    pub stuck_share: f64,
    /// Bucket above which a request is slow; none while there is no yardstick.
    pub slow_bucket: Option<usize>,
    /// Time above which a request that still runs is stuck.
    pub stuck_after: Option<Duration>,
    /// What each request time says.
    pub shift: Shift,
}

impl Default for Expected {
    fn default() -> Self {
        Expected {
            failed_share: FAILED_FLOOR_SHARE * 2.0,
            slow_share: SLOW_FLOOR_SHARE * 2.0,
            stuck_share: STUCK_FLOOR_SHARE * 2.0,
            slow_bucket: None,
            stuck_after: None,
            shift: Shift::default(),
        }
    }
}

impl Expected {
    /// Time above which a request is slow.
    pub fn slow_after(&self) -> Option<Duration> {
        self.slow_bucket.map(bucket_bound)
    }
}

/// A healthy server is granted at least these shares.
const FAILED_FLOOR_SHARE: f64 = 0.01;
const SLOW_FLOOR_SHARE: f64 = 0.02;
const STUCK_FLOOR_SHARE: f64 = 0.002;
const SHIFT_FLOOR_SHARE: f64 = 0.05;

/// Requests that a share is smoothed with, so that a few requests give no share near 0.
const SMOOTHING_COUNT: f64 = 50.0;

/// Fewest requests of one server that count in the longer comparison.
const LONG_MIN_COUNT: f64 = 10.0;

/// Fewest requests of one server that count in the fresh comparison.
const FRESH_MIN_COUNT: f64 = 5.0;

/// A summary older than this says nothing.
const SUMMARY_TTL: Duration = Duration::from_secs(15);

/// The slow mark stands at this multiple of the others' 90th percentile.
const SLOW_FACTOR: f64 = 1.5;

/// The slow mark moves only by more buckets than this.
const KEPT_BUCKETS: usize = 1;

/// The stuck mark stands at this multiple of the others' 99th percentile, and of the slow mark.
const STUCK_FACTOR: f64 = 4.0;

/// No request is stuck before this age.
const STUCK_FLOOR: Duration = Duration::from_millis(250);

struct ServerFigures {
    at: Instant,
    routes: BTreeMap<RouteId, RouteFigures>,
}

struct RouteFigures {
    recent: Counts,
    long: Counts,
}

/// What the other servers of one service told.
#[derive(Default)]
pub struct PeerBaseline {
    servers: BTreeMap<BackendServerId, ServerFigures>,
}

impl PeerBaseline {
    /// Takes a summary of another server.
    pub fn add_summary(&mut self, now: Instant, summary: &ServerSummary) {
        let mut routes = BTreeMap::new();
        for route in &summary.routes {
            let figures = RouteFigures {
                recent: Counts::from(&route.recent),
                long: Counts::from(&route.long),
            };
            routes.insert(route.route.clone(), figures);
        }
        let figures = ServerFigures { at: now, routes };
        self.servers.insert(summary.server.clone(), figures);
        self.servers
            .retain(|_, figures| now.saturating_duration_since(figures.at) < SUMMARY_TTL);
    }

    /// Servers that told something since `since`, except one.
    pub fn reported_since_count(&self, since: Instant, except: &BackendServerId) -> usize {
        let fresh = |(name, figures): &(&BackendServerId, &ServerFigures)| {
            *name != except && figures.at >= since
        };
        self.servers.iter().filter(fresh).count()
    }

    /// What a healthy server is expected to meet on a route. The slow mark stays at `kept_bucket`
    /// while the others' times stay near it.
    pub fn expected(
        &self,
        server: &BackendServerId,
        route: &RouteId,
        kept_bucket: Option<usize>,
    ) -> Expected {
        let others: Vec<&Counts> = self
            .others(server)
            .filter_map(|figures| figures.routes.get(route))
            .map(|figures| &figures.long)
            .filter(|long| long.seen >= LONG_MIN_COUNT)
            .collect();
        if others.len() < 2 {
            return Expected::default();
        }
        let newest_bucket = bucket_of(quantile(&others, 0.90).mul_f64(SLOW_FACTOR));
        let is_near = |kept: &usize| kept.abs_diff(newest_bucket) <= KEPT_BUCKETS;
        let slow_bucket = kept_bucket.filter(is_near).unwrap_or(newest_bucket);
        let slow_mark = bucket_bound(slow_bucket);
        let stuck = (quantile(&others, 0.99).max(slow_mark)).mul_f64(STUCK_FACTOR);
        Expected {
            failed_share: median_share(&others, |c| c.failed).max(FAILED_FLOOR_SHARE),
            slow_share: median_share(&others, |c| c.above(slow_bucket)).max(SLOW_FLOOR_SHARE),
            stuck_share: median_share(&others, |c| c.stuck).max(STUCK_FLOOR_SHARE),
            slow_bucket: Some(slow_bucket),
            stuck_after: Some(stuck.max(STUCK_FLOOR)),
            shift: with_share_floor(Shift::from_peers(&others)),
        }
    }

    /// `expected`, raised to what the others met lately: on the route where they had enough requests
    /// there, else on all their routes.
    pub fn raised_to_recent(
        &self,
        server: &BackendServerId,
        route: Option<&RouteId>,
        expected: Expected,
    ) -> Expected {
        let met = self.recent_counts(server, route);
        let slow = |c: &Counts| expected.slow_bucket.map_or(0.0, |bucket| c.above(bucket));
        let failed_share = upper_share(&met, |c| c.failed);
        let slow_share = upper_share(&met, slow);
        let stuck_share = upper_share(&met, |c| c.stuck);
        let shift_share = upper_share(&met, |c| expected.shift.shifted_share(c) * c.seen);
        Expected {
            failed_share: expected.failed_share.max(failed_share),
            slow_share: expected.slow_share.max(slow_share),
            stuck_share: expected.stuck_share.max(stuck_share),
            shift: Shift {
                share: expected.shift.share.max(shift_share),
                ..expected.shift
            },
            ..expected
        }
    }

    /// What each of the others met lately; none where too few of them met enough.
    fn recent_counts(&self, server: &BackendServerId, route: Option<&RouteId>) -> Vec<Counts> {
        let enough_count = self.servers.len().clamp(1, 2);
        if route.is_some() {
            let on_route = self.recent_sums(server, route);
            if on_route.len() >= enough_count {
                return on_route;
            }
        }
        let all = self.recent_sums(server, None);
        if all.len() >= enough_count {
            return all;
        }
        Vec::new()
    }

    fn others<'a>(
        &'a self,
        server: &'a BackendServerId,
    ) -> impl Iterator<Item = &'a ServerFigures> {
        self.servers
            .iter()
            .filter(move |(name, _)| *name != server)
            .map(|(_, figures)| figures)
    }

    fn recent_sums(&self, server: &BackendServerId, route: Option<&RouteId>) -> Vec<Counts> {
        let mut all = Vec::new();
        for figures in self.others(server) {
            let mut sum = Counts::default();
            for (name, counts) in &figures.routes {
                if route.is_some_and(|route| route != name) {
                    continue;
                }
                sum.merge(&counts.recent, 1.0);
            }
            if sum.seen >= FRESH_MIN_COUNT {
                all.push(sum);
            }
        }
        all
    }
}

fn with_share_floor(shift: Shift) -> Shift {
    Shift {
        share: shift.share.max(SHIFT_FLOOR_SHARE),
        ..shift
    }
}

/// Median over servers of the time below which the given share of requests ends.
fn quantile(servers: &[&Counts], share: f64) -> Duration {
    let mut buckets: Vec<usize> = servers
        .iter()
        .filter_map(|counts| quantile_bucket(&counts.buckets, share))
        .collect();
    buckets.sort_unstable();
    buckets
        .get(buckets.len() / 2)
        .map_or(Duration::ZERO, |bucket| bucket_bound(*bucket))
}

fn median_share(servers: &[&Counts], count: impl Fn(&Counts) -> f64) -> f64 {
    median(
        servers
            .iter()
            .map(|c| (count(c) + 1.0) / (c.seen + SMOOTHING_COUNT)),
    )
}

/// A share that the median server may have by its few requests: its mean and one deviation.
fn upper_share(servers: &[Counts], count: impl Fn(&Counts) -> f64) -> f64 {
    let share = median(servers.iter().map(|c| (count(c) / c.seen).min(1.0)));
    let seen = median(servers.iter().map(|c| c.seen)).max(1.0);
    (share + (share * (1.0 - share) / seen).sqrt()).min(1.0)
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        count if count % 2 == 0 => (values[middle - 1] + values[middle]) / 2.0,
        _ => values[middle],
    }
}
