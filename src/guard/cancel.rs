//! Thread that cancels requests at backend servers when nobody waits for them any more.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use crossbeam::channel::Receiver;

use crate::metrics::Metrics;
use crate::wire::http::request_builder;

/// Longest wait for the connection to a server, and for its answer.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// A request to be cancelled at its server.
pub struct CancelJob {
    /// Path of the DELETE request that names the request to cancel.
    pub path: String,
    /// Address at which the server takes requests.
    pub address: SocketAddr,
}

/// Sends cancellations until the ring closes.
pub fn run(metrics: &Metrics, jobs: &Receiver<CancelJob>) {
    for job in jobs {
        let url = format!("http://{}{}", job.address, job.path);
        let cancelled =
            request_builder(Method::DELETE, &url, CANCEL_TIMEOUT, CANCEL_TIMEOUT).send();
        let name = if cancelled.is_ok() {
            "guard.cancel.told"
        } else {
            "guard.cancel.failed"
        };
        metrics.count(name);
    }
}
