//! Counters and timings: kept in the process for `status`, and sent to statsd where one is named.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{Counted, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

use crate::settings::metrics::MetricsSettings;

/// A handle to the process's counters and timings. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    counts: Arc<Mutex<BTreeMap<String, u64>>>,
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

    /// Records a timing.
    pub fn time(&self, name: &str, elapsed: Duration) {
        let _ = self.client.time(name, elapsed);
    }

    /// The counters as text, one a line: name and value.
    pub fn text(&self) -> String {
        let counts = self.counts();
        let lines = counts.iter().map(|(name, value)| {
            let name = name.replace(['.', '-'], "_");
            format!("{PREFIX}_{name} {value}\n")
        });
        lines.collect()
    }

    /// The counters now, by name.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().expect("no panic while counting").clone()
    }
}

const PREFIX: &str = "banyanbeam";
