//! Judges a version against the others by what their servers answer at the same time.
//!
//! For each route and each kind of trouble (failed, slow) the log likelihood ratio of two hypotheses
//! is summed over the requests of a window: that the version has as much trouble as the others, and
//! that a further `BAD_SHARE` of its requests has it. A sum of `LIMIT` decides.
//!
//! Error rates: for one start of a window the probability that a good version ever reaches the limit
//! is at most e^-LIMIT, 1 in 2,981. A trial of 7 s has 28 starts, so for one route and kind of trouble
//! at most 1 % of good versions are stopped by chance if the others have as much trouble as
//! `EXPECTED_FLOOR`, and far fewer below it. A version that fails half of its requests reaches the
//! limit after 11 of them on average.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use super::evidence::Tally;
use crate::health::histogram::quantile_bucket;
use crate::health::ServerSummary;
use crate::types::{BackendServerId, RouteId};

/// Sum of log likelihood ratios at which a version is bad.
pub const LIMIT: f64 = 8.0;
/// Sum above which more speaks against a version than for it.
pub const DOUBT: f64 = 1.5;
/// Share of a bad version's requests that have trouble beyond the usual.
const BAD_SHARE: f64 = 0.4;
/// Least share of requests with trouble that is expected of a good version. Two of five servers that
/// fail most of their calls for other reasons stay without a verdict.
const EXPECTED_FLOOR: f64 = 0.06;
/// Greatest expected share; above it the others have too much trouble to judge by.
const EXPECTED_LIMIT: f64 = 0.6;
/// Weight of the server that says most against a version, as a multiple of what all others say.
const SERVER_WEIGHT: f64 = 2.0;
/// Quantile of the other versions' times, from which the slow threshold is derived.
const SLOW_QUANTILE: f64 = 0.9;
/// Requests of the other versions that a window needs. With fewer, all since the order are taken;
/// if those are fewer, nothing is said of slow answers.
const BASELINE_COUNT: u32 = 30;
/// Requests of the other versions that make a route one that the service serves.
const ROUTE_COUNT: u32 = 20;
/// Good requests that make a route tried.
const TRIED_COUNT: u32 = 20;
/// Windows over which the sums are taken, in milliseconds. The longest one holds everything.
const WINDOWS_MS: [u64; 3] = [2_000, 4_000, 8_000];

/// What one server answered, as its daemon reported it over time.
#[derive(Debug, Default)]
struct Track {
    /// Whether the server has the version that is judged.
    is_target: bool,
    /// Time of each report and the counts since the order, oldest first.
    samples: VecDeque<(Instant, BTreeMap<RouteId, Tally>)>,
    /// Requests that ran at the last report, by their age.
    running: BTreeMap<RouteId, Tally>,
}

/// Counts of one route at one server within a window.
struct Part {
    /// Requests that ended.
    ended: Tally,
    /// Requests that run.
    running: Tally,
}

impl Track {
    /// Returns the counts of a route since `from`; all of them if that is `None`.
    fn part(&self, route: &RouteId, from: Option<Instant>) -> Part {
        let newest = self
            .samples
            .back()
            .and_then(|(_, routes)| routes.get(route));
        let mut ended = newest.cloned().unwrap_or_default();
        let is_before = |at: Instant| from.is_some_and(|from| at <= from);
        let base = self.samples.iter().rev().find(|(at, _)| is_before(*at));
        if let Some(base) = base.and_then(|(_, routes)| routes.get(route)) {
            ended = ended.since(base);
        }
        let running = self.running.get(route).cloned().unwrap_or_default();
        Part { ended, running }
    }
}

/// The evidence that speaks most against a version.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Route with the trouble; none if it is the sum over all routes.
    pub route: Option<RouteId>,
    /// Kind of the trouble, `failed` or `slow`.
    pub kind: &'static str,
    /// Sum of the log likelihood ratios.
    pub sum: f64,
    /// Requests with trouble.
    pub met_count: u32,
    /// Requests that were judged.
    pub seen_count: u32,
    /// Share that the other versions have.
    pub expected_share: f64,
}

impl Finding {
    /// Returns the evidence in words.
    pub fn text(&self) -> String {
        let route = self.route.as_deref().unwrap_or("all routes");
        format!(
            "{} of {} requests {} on {route}, others {:.0} %, sum {:.1} of {LIMIT}",
            self.met_count,
            self.seen_count,
            self.kind,
            self.expected_share * 100.0,
            self.sum
        )
    }
}

/// What the reports say about a version at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Verdict {
    /// The evidence that speaks most against the version; none without any request.
    pub worst: Option<Finding>,
    /// Requests that ended at the version's servers since the order.
    pub target_count: u32,
    /// Requests that ended at the other servers since the order.
    pub other_count: u32,
    /// Whether every route that the service serves was tried at the version's servers.
    pub all_tried: bool,
}

impl Verdict {
    /// Returns the greatest sum; 0 without evidence.
    pub fn sum(&self) -> f64 {
        self.worst.as_ref().map_or(0.0, |worst| worst.sum)
    }

    /// Returns whether the version is bad.
    pub fn is_bad(&self) -> bool {
        self.sum() >= LIMIT
    }

    /// Returns the evidence in words.
    pub fn text(&self) -> String {
        let worst = self.worst.as_ref().map_or_else(String::new, Finding::text);
        let (target, other) = (self.target_count, self.other_count);
        format!("{target} requests at the version, {other} at others; {worst}")
    }
}

/// Collects reports about the servers of a service, and judges the target version by them.
#[derive(Debug, Default)]
pub struct Judgement {
    /// Reports about each server.
    tracks: BTreeMap<BackendServerId, Track>,
}

impl Judgement {
    /// Adds what a server's daemon reported.
    pub fn add(&mut self, now: Instant, is_target: bool, summary: &ServerSummary) {
        let track = self.tracks.entry(summary.server.clone()).or_default();
        track.is_target = is_target;
        let tallies = |part: fn(&crate::health::RouteSummary) -> &crate::health::RouteCounts| {
            let routes = summary.routes.iter();
            routes
                .map(|route| (route.route.clone(), Tally::from(part(route))))
                .collect::<BTreeMap<RouteId, Tally>>()
        };
        track.running = tallies(|route| &route.recent);
        track.samples.push_back((now, tallies(|route| &route.long)));
        let kept = Duration::from_millis(WINDOWS_MS[WINDOWS_MS.len() - 1]);
        // One sample older than the windows stays, from which the longest one is counted.
        while track.samples.len() > 2 && now.saturating_duration_since(track.samples[1].0) > kept {
            track.samples.pop_front();
        }
    }

    /// Judges the target version by all reports.
    pub fn verdict(&self, now: Instant) -> Verdict {
        let mut verdict = Verdict {
            all_tried: true,
            ..Default::default()
        };
        let routes = self.routes();
        for route in &routes {
            let target = self.total(route, true, None);
            let other = self.total(route, false, None);
            verdict.target_count += target.seen_count;
            verdict.other_count += other.seen_count;
            let is_served = other.seen_count >= ROUTE_COUNT;
            verdict.all_tried &= !is_served || target.seen_count >= TRIED_COUNT;
        }
        for window_ms in WINDOWS_MS {
            let from = now.checked_sub(Duration::from_millis(window_ms));
            for is_slow in [false, true] {
                self.judge_window(&routes, from, is_slow, &mut verdict.worst);
            }
        }
        verdict
    }

    /// Judges one kind of trouble within a window, for each route and for all together.
    fn judge_window(
        &self,
        routes: &BTreeSet<RouteId>,
        from: Option<Instant>,
        is_slow: bool,
        worst: &mut Option<Finding>,
    ) {
        let kind = if is_slow { "slow" } else { "failed" };
        let mut all = Finding {
            route: None,
            kind,
            sum: 0.0,
            met_count: 0,
            seen_count: 0,
            expected_share: 0.0,
        };
        for route in routes {
            let Some(finding) = self.judge_route(route, from, is_slow) else {
                continue;
            };
            let weight = f64::from(finding.seen_count);
            all.expected_share += finding.expected_share * weight;
            all.sum += finding.sum;
            all.met_count += finding.met_count;
            all.seen_count += finding.seen_count;
            keep_worst(worst, finding);
        }
        if all.seen_count > 0 {
            all.expected_share /= f64::from(all.seen_count);
            keep_worst(worst, all);
        }
    }

    /// Judges one kind of trouble on one route within a window. No server decides alone.
    fn judge_route(
        &self,
        route: &RouteId,
        from: Option<Instant>,
        is_slow: bool,
    ) -> Option<Finding> {
        let mut other = self.total(route, false, from);
        if other.seen_count < BASELINE_COUNT {
            other = self.total(route, false, None);
        }
        if is_slow && other.seen_count < BASELINE_COUNT {
            // Too few to tell what slow is.
            return None;
        }
        let threshold = match is_slow {
            true => Some(quantile_bucket(&other.buckets.map(f64::from), SLOW_QUANTILE)? + 1),
            false => None,
        };
        let met_of = |tally: &Tally| match threshold {
            Some(bucket) => tally.above(bucket),
            None => tally.failed_count,
        };
        let usual = f64::from(met_of(&other)) / f64::from(other.seen_count.max(1));
        let expected_share = usual.max(EXPECTED_FLOOR);
        if expected_share > EXPECTED_LIMIT {
            return None;
        }
        let mut parts: Vec<(u32, u32)> = Vec::new();
        for track in self.tracks.values().filter(|track| track.is_target) {
            let part = track.part(route, from);
            // A request that runs counts once it has run for too long.
            let late_count = threshold.map_or(0, |bucket| part.running.above(bucket));
            let seen_count = part.ended.seen_count + late_count;
            if seen_count > 0 {
                parts.push((met_of(&part.ended) + late_count, seen_count));
            }
        }
        let met_count: u32 = parts.iter().map(|part| part.0).sum();
        let seen_count: u32 = parts.iter().map(|part| part.1).sum();
        if seen_count == 0 {
            return None;
        }
        let targets = self.tracks.values().filter(|track| track.is_target);
        let server_count = targets.count();
        let sums: Vec<f64> = parts
            .iter()
            .map(|(met_count, seen_count)| log_ratio(expected_share, *met_count, *seen_count))
            .collect();
        let sum = sum_limited(&sums, server_count);
        Some(Finding {
            route: Some(route.clone()),
            kind: if is_slow { "slow" } else { "failed" },
            sum,
            met_count,
            seen_count,
            expected_share,
        })
    }

    /// Returns the routes that any server reported.
    fn routes(&self) -> BTreeSet<RouteId> {
        let newest = self
            .tracks
            .values()
            .filter_map(|track| track.samples.back());
        let mut routes: BTreeSet<RouteId> = BTreeSet::new();
        for (_, counted) in newest {
            routes.extend(counted.keys().cloned());
        }
        routes
    }

    /// Returns the requests of a route that ended since `from` at the servers of the target version
    /// or at the others.
    fn total(&self, route: &RouteId, is_target: bool, from: Option<Instant>) -> Tally {
        let mut total = Tally::default();
        for track in self.tracks.values() {
            if track.is_target == is_target {
                total.merge(&track.part(route, from).ended);
            }
        }
        total
    }
}

/// Returns the log likelihood ratio of a bad version to a good one for requests of which some had
/// trouble.
fn log_ratio(expected_share: f64, met_count: u32, seen_count: u32) -> f64 {
    let bad_share = expected_share + (1.0 - expected_share) * BAD_SHARE;
    let met = (bad_share / expected_share).ln();
    let unaffected = ((1.0 - bad_share) / (1.0 - expected_share)).ln();
    f64::from(met_count) * met + f64::from(seen_count - met_count) * unaffected
}

/// Adds what the servers say. Where the version has several, with requests or not, the one that says
/// most counts for at most `SERVER_WEIGHT` times all others: it may be gray for reasons of its own.
fn sum_limited(sums: &[f64], server_count: usize) -> f64 {
    let total: f64 = sums.iter().sum();
    let most = sums.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if server_count < 2 || most <= 0.0 {
        return total;
    }
    let others = total - most;
    others + most.min((others * SERVER_WEIGHT).max(0.0))
}

/// Keeps the finding with the greater sum.
fn keep_worst(worst: &mut Option<Finding>, finding: Finding) {
    if worst.as_ref().is_none_or(|known| known.sum < finding.sum) {
        *worst = Some(finding);
    }
}
