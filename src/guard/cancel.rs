//! The thread that tells backend servers that nobody waits for a request any more.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use crossbeam::channel::Receiver;

use crate::metrics::Metrics;
use crate::wire::http::request_builder;

const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that may end.
pub struct CancelJob {
    /// Path that names the request.
    pub path: String,
    /// Where its server takes requests.
    pub address: SocketAddr,
}

/// Tells servers until the ring closes.
pub fn run(metrics: &Metrics, jobs: &Receiver<CancelJob>) {
    for job in jobs {
        let url = format!("http://{}{}", job.address, job.path);
        let told = request_builder(Method::DELETE, &url, CANCEL_TIMEOUT, CANCEL_TIMEOUT).send();
        let name = if told.is_ok() {
            "guard.cancel.told"
        } else {
            "guard.cancel.failed"
        };
        metrics.count(name);
    }
}
