//! The thread that tells backend servers that nobody waits for a request any more.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use crossbeam::channel::Receiver;

use crate::metrics::Metrics;
use crate::types::{format_id, RequestId};
use crate::wire::http::client;

/// Path under which a backend server takes cancellations, by `DELETE`.
pub const CANCEL_PATH: &str = "/banyanbeam/requests/";
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that may end.
pub struct CancelJob {
    /// The request.
    pub request: RequestId,
    /// Where its server takes requests.
    pub address: SocketAddr,
}

/// Tells servers until the ring closes.
pub fn run(metrics: &Metrics, jobs: &Receiver<CancelJob>) {
    for job in jobs {
        let url = format!(
            "http://{}{CANCEL_PATH}{}",
            job.address,
            format_id(job.request)
        );
        let told = client(Method::DELETE, &url, CANCEL_TIMEOUT, CANCEL_TIMEOUT).send();
        let name = if told.is_ok() {
            "guard.cancel.told"
        } else {
            "guard.cancel.failed"
        };
        metrics.count(name);
    }
}
