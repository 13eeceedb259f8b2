//! What the servers on this VM answered since an order: the evidence that drivers ask for.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::message::RolloutReport;
use crate::guard::message::AttemptKey;
use crate::health::histogram::{bucket_of, BUCKET_COUNT};
use crate::health::{RequestEnd, RouteCounts, RouteSummary, ServerSummary, StartedRequest};
use crate::types::{BackendServerId, RouteId, ServiceId};

/// Time after which a request whose end was not seen counts as ended.
const RUN_LIMIT: Duration = Duration::from_secs(120);

/// Counts of one route at one server since the order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that ended.
    pub seen_count: u32,
    /// Those that the server failed.
    pub failed_count: u32,
    /// Histogram of their times.
    pub buckets: [u32; BUCKET_COUNT],
}

impl Tally {
    /// Counts a request that ended, or runs for this time.
    pub fn count(&mut self, elapsed: Duration, failed: bool) {
        self.seen_count += 1;
        self.failed_count += u32::from(failed);
        self.buckets[bucket_of(elapsed)] += 1;
    }

    /// Returns the counts that were added after `earlier`; all of them if the server's daemon began
    /// to count anew meanwhile.
    pub fn since(&self, earlier: &Tally) -> Tally {
        if earlier.seen_count > self.seen_count || earlier.failed_count > self.failed_count {
            return self.clone();
        }
        let mut added = Tally {
            seen_count: self.seen_count - earlier.seen_count,
            failed_count: self.failed_count - earlier.failed_count,
            ..Default::default()
        };
        for (index, count) in added.buckets.iter_mut().enumerate() {
            *count = self.buckets[index].saturating_sub(earlier.buckets[index]);
        }
        added
    }

    /// Adds other counts.
    pub fn merge(&mut self, other: &Tally) {
        self.seen_count += other.seen_count;
        self.failed_count += other.failed_count;
        for (own, added) in self.buckets.iter_mut().zip(&other.buckets) {
            *own += added;
        }
    }

    /// Returns the number of requests in buckets above `bucket`.
    pub fn above(&self, bucket: usize) -> u32 {
        self.buckets.iter().skip(bucket + 1).sum()
    }

    /// Converts the counts for a report, without empty buckets at the end.
    fn to_message(&self) -> RouteCounts {
        let mut buckets = self.buckets.to_vec();
        while buckets.last() == Some(&0) {
            buckets.pop();
        }
        RouteCounts {
            seen_count: self.seen_count,
            failed_count: self.failed_count,
            stuck_count: 0,
            buckets,
        }
    }
}

impl From<&RouteCounts> for Tally {
    /// Converts received counts; failed ones are at most those seen.
    fn from(message: &RouteCounts) -> Tally {
        let mut tally = Tally {
            seen_count: message.seen_count,
            failed_count: message.failed_count.min(message.seen_count),
            ..Default::default()
        };
        for (own, received) in tally.buckets.iter_mut().zip(&message.buckets) {
            *own = *received;
        }
        tally
    }
}

/// A request that runs at a server on this VM.
#[derive(Debug)]
struct Running {
    /// The request as it was reported.
    request: StartedRequest,
    /// When its start was reported.
    since: Instant,
}

/// Requests at the servers on this VM while there are orders.
#[derive(Debug, Default)]
pub struct LocalEvidence {
    /// Requests that run.
    running: HashMap<AttemptKey, Running>,
    /// Requests of services under an order that ended since it.
    ended: BTreeMap<ServiceId, BTreeMap<(BackendServerId, RouteId), Tally>>,
}

impl LocalEvidence {
    /// Starts to count the requests of a service anew.
    pub fn begin(&mut self, service: &ServiceId) {
        self.ended.insert(service.clone(), BTreeMap::new());
    }

    /// Ends the count of a service.
    pub fn end(&mut self, service: &ServiceId) {
        self.ended.remove(service);
        if self.ended.is_empty() {
            self.running.clear();
        }
    }

    /// Counts the start of a request.
    pub fn started(&mut self, now: Instant, request: StartedRequest) {
        if !self.ended.contains_key(&request.service) {
            return;
        }
        let key = request.key;
        let since = now;
        self.running.insert(key, Running { request, since });
    }

    /// Counts the end of a request. Of one that was ended from this side only the time counts, and
    /// nothing if its server died, since the request may have caused it.
    pub fn finished(&mut self, key: AttemptKey, end: RequestEnd, elapsed: Duration) {
        let Some(run) = self.running.remove(&key) else {
            return;
        };
        let Some(routes) = self.ended.get_mut(&run.request.service) else {
            return;
        };
        let failed = match end {
            RequestEnd::Died => return,
            RequestEnd::Failed(_) | RequestEnd::TimedOut => true,
            RequestEnd::Good | RequestEnd::Neutral => false,
        };
        let place = (run.request.server, run.request.route);
        routes.entry(place).or_default().count(elapsed, failed);
    }

    /// Reports the requests of a service since the order: in `long` those that ended, in `recent`
    /// those that run, by their age.
    pub fn report(&mut self, now: Instant, service: &ServiceId) -> RolloutReport {
        let age = |run: &Running| now.saturating_duration_since(run.since);
        self.running.retain(|_, run| age(run) < RUN_LIMIT);
        let mut open_count = 0;
        let mut places: BTreeMap<(BackendServerId, RouteId), Tally> = BTreeMap::new();
        for run in self.running.values() {
            if run.request.service != *service {
                continue;
            }
            open_count += 1;
            let place = (run.request.server.clone(), run.request.route.clone());
            places.entry(place).or_default().count(age(run), false);
        }
        let ended = self.ended.get(service);
        for place in ended.into_iter().flat_map(|routes| routes.keys()) {
            places.entry(place.clone()).or_default();
        }
        let mut servers: Vec<ServerSummary> = Vec::new();
        for ((server, route), running) in places {
            let place = (server, route);
            let ended = ended.and_then(|routes| routes.get(&place));
            let summary = RouteSummary {
                route: place.1,
                recent: running.to_message(),
                long: ended.map(Tally::to_message).unwrap_or_default(),
            };
            match servers.last_mut() {
                Some(last) if last.server == place.0 => last.routes.push(summary),
                _ => servers.push(ServerSummary {
                    server: place.0,
                    routes: vec![summary],
                }),
            }
        }
        RolloutReport {
            servers,
            open_count,
            ..Default::default()
        }
    }
}
