//! Counters and timings. They are kept in the process for `status` and `/metrics`, and are also
//! sent to statsd if the settings name an address.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{Counted, NopMetricSink, StatsdClient, Timed, UdpMetricSink};
use hdrhistogram::Histogram;

use crate::settings::metrics::MetricsSettings;

/// Handle to the counters and timings of the process. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    counts: Arc<Mutex<BTreeMap<String, u64>>>,
    timings: Arc<Mutex<BTreeMap<String, Timing>>>,
}

/// Distribution of the durations recorded under one name.
struct Timing {
    /// Durations in microseconds, from 1 to `MAX_TIMING_US`.
    histogram: Histogram<u64>,
    sum_us: u64,
}

impl Metrics {
    /// Creates metrics that are only kept in the process.
    pub fn local() -> Metrics {
        Metrics::with_client(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }

    /// Creates metrics that are sent to the statsd address of the settings. Without an address they
    /// are only kept in the process.
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

    /// Adds one to the counter with this name.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `count` to the counter with this name.
    pub fn add(&self, name: &str, count: u64) {
        let mut counts = self.counts.lock().expect("no panic while counting");
        match counts.get_mut(name) {
            Some(value) => *value += count,
            None => {
                counts.insert(name.to_owned(), count);
            }
        }
        drop(counts);
        // A datagram that can't be sent loses only this sample.
        let _ = self.client.count(name, count as i64);
    }

    /// Records a duration under this name. A new name beyond `TIMING_LIMIT_COUNT` is not kept, and
    /// counted as `timings.dropped`.
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

    /// Returns all counters and timings in the text exposition format of Prometheus.
    pub fn prometheus_text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.counts() {
            let metric = prometheus_name(&name);
            // Writing to a string does not fail.
            let _ = write!(
                text,
                "# HELP {metric} Events {name} since the start, see docs/OPERATIONS.md.\n\
                 # TYPE {metric} counter\n{metric} {value}\n"
            );
        }
        let timings = self.timings.lock().expect("no panic while timing");
        for (name, timing) in timings.iter() {
            timing.write(&prometheus_name(name), name, &mut text);
        }
        text
    }

    /// Returns the current counters by name.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().expect("no panic while counting").clone()
    }
}

impl Default for Timing {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_TIMING_US, SIGNIFICANT_DIGITS);
        Timing {
            histogram: histogram.expect("the bounds of the histogram are valid"),
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

    /// Appends the timing to `text` as a Prometheus histogram in seconds.
    fn write(&self, metric: &str, name: &str, text: &mut String) {
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "# HELP {metric}_seconds Time of {name} since the start, in seconds.\n\
             # TYPE {metric}_seconds histogram\n"
        );
        for bound_ms in BUCKETS_MS {
            let count = self.histogram.count_between(0, bound_ms * US_PER_MS);
            let bound_s = *bound_ms as f64 / MS_PER_S;
            let _ = writeln!(text, "{metric}_seconds_bucket{{le=\"{bound_s}\"}} {count}");
        }
        let count = self.histogram.len();
        let sum_s = self.sum_us as f64 / US_PER_MS as f64 / MS_PER_S;
        let _ = write!(
            text,
            "{metric}_seconds_bucket{{le=\"+Inf\"}} {count}\n\
             {metric}_seconds_sum {sum_s}\n{metric}_seconds_count {count}\n"
        );
    }
}

/// Returns the name of a metric in Prometheus, with the prefix and without dots and hyphens.
fn prometheus_name(name: &str) -> String {
    format!("{PREFIX}_{}", name.replace(['.', '-'], "_"))
}

/// First part of the names of all metrics.
const PREFIX: &str = "banyanbeam";
/// Most names of timings that are kept.
const TIMING_LIMIT_COUNT: usize = 64;
/// Decimal digits to which the histogram keeps a duration.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Longest duration that is recorded (one minute); longer ones count as this.
const MAX_TIMING_US: u64 = 60_000_000;
const US_PER_MS: u64 = 1_000;
const MS_PER_S: f64 = 1_000.0;
/// Upper bounds of the Prometheus buckets of a timing, in milliseconds.
const BUCKETS_MS: &[u64] = &[
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000,
];

#[cfg(test)]
mod tests;
