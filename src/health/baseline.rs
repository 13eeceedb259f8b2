//! Baseline of a service: the figures of the other servers, which one server is compared with.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::histogram::{bucket_bound, bucket_of, quantile_bucket};
use super::message::ServerSummary;
use super::shift::Shift;
use super::window::Counts;
use crate::types::{BackendServerId, RouteId};

/// Shares of failed, slow and stuck requests that are expected of a healthy server on a route, and
/// the thresholds of slow and stuck requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expected {
    /// Expected share of requests that fail.
    pub failed_share: f64,
    /// Expected share of requests above the slow threshold.
    pub slow_share: f64,
    /// Expected share of requests above the stuck threshold.
    pub stuck_share: f64,
    /// Bucket above which a request is slow; `None` while too few peers have reported.
    pub slow_bucket: Option<usize>,
    /// Age above which a running request is stuck; `None` while too few peers have reported.
    pub stuck_after: Option<Duration>,
    /// Evidence of a shift that each request time gives.
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
    /// Returns the time above which a request is slow.
    pub fn slow_after(&self) -> Option<Duration> {
        self.slow_bucket.map(bucket_bound)
    }
}

/// Least share of failed requests that is expected of a healthy server.
const FAILED_FLOOR_SHARE: f64 = 0.01;
/// Least share of slow requests that is expected of a healthy server.
const SLOW_FLOOR_SHARE: f64 = 0.02;
/// Least share of stuck requests that is expected of a healthy server.
const STUCK_FLOOR_SHARE: f64 = 0.002;
/// Least share of requests indicating a shift that is expected of a healthy server.
const SHIFT_FLOOR_SHARE: f64 = 0.05;

/// Requests added to those of a server, one of them bad, so that a few requests give no share
/// near 0.
const SMOOTHING_COUNT: f64 = 50.0;

/// Fewest requests of a server for its longer counts to be used.
const LONG_MIN_COUNT: f64 = 10.0;

/// Fewest requests of a server for its recent counts to be used.
const FRESH_MIN_COUNT: f64 = 5.0;

/// Age at which a summary is dropped.
const SUMMARY_TTL: Duration = Duration::from_secs(15);

/// Slow threshold as a multiple of the other servers' 90th percentile.
const SLOW_FACTOR: f64 = 1.5;

/// Largest change of the slow threshold, in buckets, at which the old threshold is kept.
const KEPT_BUCKET_COUNT: usize = 1;

/// Stuck threshold as a multiple of the greater of the other servers' 99th percentile and the slow
/// threshold.
const STUCK_FACTOR: f64 = 4.0;

/// Lower bound of the stuck threshold.
const STUCK_FLOOR: Duration = Duration::from_millis(250);

/// Last summary of one server.
struct ServerFigures {
    received_at: Instant,
    /// Counts of the server's busiest routes.
    routes: BTreeMap<RouteId, RouteFigures>,
}

/// Counts of one route in a summary.
struct RouteFigures {
    /// Newest requests, of 0.5 s to 2 s.
    recent: Counts,
    /// Requests of a longer time, older ones with less weight.
    long: Counts,
}

/// Last summaries of the servers of one service.
#[derive(Default)]
pub struct PeerBaseline {
    servers: BTreeMap<BackendServerId, ServerFigures>,
}

impl PeerBaseline {
    /// Takes a summary of a server, and drops expired summaries.
    pub fn add_summary(&mut self, now: Instant, summary: &ServerSummary) {
        let mut routes = BTreeMap::new();
        for route in &summary.routes {
            let figures = RouteFigures {
                recent: Counts::from(&route.recent),
                long: Counts::from(&route.long),
            };
            routes.insert(route.route.clone(), figures);
        }
        let figures = ServerFigures {
            received_at: now,
            routes,
        };
        self.servers.insert(summary.server.clone(), figures);
        self.servers
            .retain(|_, figures| now.saturating_duration_since(figures.received_at) < SUMMARY_TTL);
    }

    /// Returns the number of servers, except one, whose summary arrived at or after `since`.
    pub fn reported_since_count(&self, since: Instant, except: &BackendServerId) -> usize {
        let fresh = |(name, figures): &(&BackendServerId, &ServerFigures)| {
            *name != except && figures.received_at >= since
        };
        self.servers.iter().filter(fresh).count()
    }

    /// Returns what is expected of a healthy server on a route, from the longer counts of the other
    /// servers. The slow threshold stays at `kept_bucket` while the others' times stay near it.
    pub fn expected(
        &self,
        server: &BackendServerId,
        route: &RouteId,
        kept_bucket: Option<usize>,
    ) -> Expected {
        let others: Vec<&Counts> = self
            .other_servers(server)
            .filter_map(|figures| figures.routes.get(route))
            .map(|figures| &figures.long)
            .filter(|long| long.seen >= LONG_MIN_COUNT)
            .collect();
        if others.len() < 2 {
            return Expected::default();
        }
        let newest_bucket = bucket_of(quantile(&others, 0.90).mul_f64(SLOW_FACTOR));
        let is_near = |kept: &usize| kept.abs_diff(newest_bucket) <= KEPT_BUCKET_COUNT;
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

    /// Returns `expected` with its shares raised to the recent ones of the other servers: those of
    /// the route if enough requests were made there, else those of all their routes.
    pub fn raised_to_recent(
        &self,
        server: &BackendServerId,
        route: Option<&RouteId>,
        expected: Expected,
    ) -> Expected {
        let recent = self.recent_counts(server, route);
        let slow = |c: &Counts| expected.slow_bucket.map_or(0.0, |bucket| c.above(bucket));
        let failed_share = upper_share(&recent, |c| c.failed);
        let slow_share = upper_share(&recent, slow);
        let stuck_share = upper_share(&recent, |c| c.stuck);
        let shift_share = upper_share(&recent, |c| expected.shift.shifted_share(c) * c.seen);
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

    /// Returns the recent counts of each other server; none if too few servers had enough requests.
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

    /// Returns the last summaries of all servers except one.
    fn other_servers<'a>(
        &'a self,
        server: &'a BackendServerId,
    ) -> impl Iterator<Item = &'a ServerFigures> {
        self.servers
            .iter()
            .filter(move |(name, _)| *name != server)
            .map(|(_, figures)| figures)
    }

    /// Returns the recent counts of each other server with enough requests, on one route or summed
    /// over all routes.
    fn recent_sums(&self, server: &BackendServerId, route: Option<&RouteId>) -> Vec<Counts> {
        let mut all = Vec::new();
        for figures in self.other_servers(server) {
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

/// Raises the share of a shift to `SHIFT_FLOOR_SHARE` if it is below.
fn with_share_floor(shift: Shift) -> Shift {
    Shift {
        share: shift.share.max(SHIFT_FLOOR_SHARE),
        ..shift
    }
}

/// Returns the median over servers of the given quantile of their request times.
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

/// Returns the median over servers of a smoothed share.
fn median_share(servers: &[&Counts], count: impl Fn(&Counts) -> f64) -> f64 {
    median(
        servers
            .iter()
            .map(|c| (count(c) + 1.0) / (c.seen + SMOOTHING_COUNT)),
    )
}

/// Returns an upper estimate of a share: the median over servers plus one standard deviation for
/// their number of requests.
fn upper_share(servers: &[Counts], count: impl Fn(&Counts) -> f64) -> f64 {
    let share = median(servers.iter().map(|c| (count(c) / c.seen).min(1.0)));
    let seen = median(servers.iter().map(|c| c.seen)).max(1.0);
    (share + (share * (1.0 - share) / seen).sqrt()).min(1.0)
}

/// Returns the median, or 0 if there are no values.
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
