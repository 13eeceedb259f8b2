//! Counters and timings: kept in the process for `status` and `/metrics`, and sent to statsd where one
//! is named.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{Counted, NopMetricSink, StatsdClient, Timed, UdpMetricSink};
use hdrhistogram::Histogram;

use crate::settings::metrics::MetricsSettings;

/// A handle to the process's counters and timings. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    counts: Arc<Mutex<BTreeMap<String, u64>>>,
    timings: Arc<Mutex<BTreeMap<String, Timing>>>,
}

/// Times of one name, in microseconds.
struct Timing {
    histogram: Histogram<u64>,
    sum_us: u64,
}

impl Metrics {
    /// Metrics that are only kept in the process.
    pub fn local() -> Metrics {
        Metrics::with_client(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }

    /// Metrics as the settings ask; without an address they stay in the process.
    pub fn from_settings(settings: &MetricsSettings) -> std::io::Result<Metrics> {
        let Some(address) = settings.statsd_address else {
            return Ok(Metrics::local());
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        Ok(Metrics::with_client(StatsdClient::from_sink(PREFIX, sink)))
    }

    fn with_client(client: StatsdClient) -> Metrics {
        Metrics {
            client: Arc::new(client),
            counts: Arc::default(),
            timings: Arc::default(),
        }
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &str, count: u64) {
        let mut counts = self.counts.lock().expect("no panic while counting");
        match counts.get_mut(name) {
            Some(value) => *value += count,
            None => {
                counts.insert(name.to_owned(), count);
            }
        }
        drop(counts);
        // A lost datagram loses a sample, never a request.
        let _ = self.client.count(name, count as i64);
    }

    /// Records a timing. Beyond the most names that are kept it is counted as `timings.dropped`.
    pub fn time(&self, name: &str, elapsed: Duration) {
        let _ = self.client.time(name, elapsed);
        let mut timings = self.timings.lock().expect("no panic while timing");
        if !timings.contains_key(name) {
            if timings.len() >= TIMING_LIMIT_COUNT {
                drop(timings);
                return self.count("timings.dropped");
            }
            timings.insert(name.to_owned(), Timing::default());
        }
        if let Some(timing) = timings.get_mut(name) {
            timing.add(elapsed);
        }
    }

    /// Counters and timings in the text format that collectors read.
    pub fn prometheus_text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.counts() {
            let shown = prometheus_name(&name);
            // Writing to a string does not fail.
            let _ = write!(
                text,
                "# HELP {shown} Events {name} since the start, see docs/OPERATIONS.md.\n\
                 # TYPE {shown} counter\n{shown} {value}\n"
            );
        }
        let timings = self.timings.lock().expect("no panic while timing");
        for (name, timing) in timings.iter() {
            timing.write(&prometheus_name(name), name, &mut text);
        }
        text
    }

    /// The counters now, by name.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().expect("no panic while counting").clone()
    }
}

impl Default for Timing {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_TIMING_US, SIGNIFICANT_DIGITS);
        Timing {
            histogram: histogram.expect("the bounds hold"),
            sum_us: 0,
        }
    }
}

impl Timing {
    fn add(&mut self, elapsed: Duration) {
        let elapsed_us = (elapsed.as_micros() as u64).clamp(1, MAX_TIMING_US);
        self.sum_us = self.sum_us.saturating_add(elapsed_us);
        self.histogram.saturating_record(elapsed_us);
    }

    fn write(&self, shown: &str, name: &str, text: &mut String) {
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "# HELP {shown}_seconds Time of {name} since the start, in seconds.\n\
             # TYPE {shown}_seconds histogram\n"
        );
        for bound_ms in BUCKETS_MS {
            let count = self.histogram.count_between(0, bound_ms * US_PER_MS);
            let bound_s = *bound_ms as f64 / MS_PER_S;
            let _ = writeln!(text, "{shown}_seconds_bucket{{le=\"{bound_s}\"}} {count}");
        }
        let count = self.histogram.len();
        let sum_s = self.sum_us as f64 / US_PER_MS as f64 / MS_PER_S;
        let _ = write!(
            text,
            "{shown}_seconds_bucket{{le=\"+Inf\"}} {count}\n\
             {shown}_seconds_sum {sum_s}\n{shown}_seconds_count {count}\n"
        );
    }
}

fn prometheus_name(name: &str) -> String {
    format!("{PREFIX}_{}", name.replace(['.', '-'], "_"))
}

const PREFIX: &str = "banyanbeam";
/// Names of timings that are kept.
const TIMING_LIMIT_COUNT: usize = 64;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Longer times count as this.
const MAX_TIMING_US: u64 = 60_000_000;
const US_PER_MS: u64 = 1_000;
const MS_PER_S: f64 = 1_000.0;
/// Upper bounds of the buckets of a timing.
const BUCKETS_MS: &[u64] = &[
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000,
];

#[cfg(test)]
mod tests;
