//! Settings of the HTTP listener that takes callers' requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the front duty: its listener, and limits on requests, bodies and answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrontSettings {
    /// Address on which callers' requests are taken.
    pub address: SocketAddr,
    /// Most requests in flight at this entry.
    pub worker_count: usize,
    /// Most requests in flight whose bodies are too long to be kept for a retry.
    pub upload_worker_count: usize,
    /// Capacity of the front duty's rings, in requests and answers.
    pub ring_count: usize,
    /// Most bytes of all headers of a request together.
    pub header_limit_bytes: usize,
    /// Most headers of a request.
    pub header_limit_count: usize,
    /// Longest answer of a backend server that is accepted, in bytes.
    pub answer_limit_bytes: usize,
    /// Share of `daemon.memory_limit_bytes` that answers of backend servers and guards may hold
    /// together.
    pub answer_memory_share: f64,
    /// Longest body that is kept so that a retry can send it again, in bytes.
    pub retry_body_limit_bytes: usize,
    /// Share of `daemon.memory_limit_bytes` that callers' requests may hold together: bodies,
    /// incomplete heads and requests that wait behind others on their connection. Requests of other
    /// daemons to the guard may hold as much.
    pub request_memory_share: f64,
    /// Whether bodies may use chunked encoding. Such a body must not exceed
    /// `retry_body_limit_bytes`.
    pub chunked_bodies: bool,
}

impl Default for FrontSettings {
    fn default() -> Self {
        FrontSettings {
            address: "127.0.0.1:8080".parse().expect("a literal address"),
            worker_count: 64,
            upload_worker_count: 16,
            ring_count: 1024,
            header_limit_bytes: 16_384,
            header_limit_count: 100,
            answer_limit_bytes: 8_388_608,
            answer_memory_share: 0.2,
            retry_body_limit_bytes: 65_536,
            request_memory_share: 0.125,
            chunked_bodies: false,
        }
    }
}

impl FrontSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.range("worker_count", self.worker_count, 1..=1024);
        checker.range("upload_worker_count", self.upload_worker_count, 1..=1024);
        checker.range("ring_count", self.ring_count, 1..=65536);
        checker.range("header_limit_bytes", self.header_limit_bytes, 512..=1048576);
        checker.range("header_limit_count", self.header_limit_count, 1..=1000);
        checker.range(
            "answer_limit_bytes",
            self.answer_limit_bytes,
            1024..=1073741824,
        );
        checker.range("answer_memory_share", self.answer_memory_share, 0.01..=0.9);
        checker.range(
            "retry_body_limit_bytes",
            self.retry_body_limit_bytes,
            0..=16777216,
        );
        checker.range(
            "request_memory_share",
            self.request_memory_share,
            0.01..=0.4,
        );
    }
}
