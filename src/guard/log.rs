//! Log lines of the guard about calls, servers and announcements.

use std::time::Duration;

use super::message::{Announcement, IgnoredBecause, ServerOutcome};
use crate::membership::ServerEntry;
use crate::types::Attempt;

/// Names of a request and its server in log lines.
#[derive(Debug, Clone, Default)]
pub(super) struct LogName {
    /// Id that the caller gave the request, or else the request id.
    pub(super) request: String,
    /// Backend server that is to run the request.
    pub(super) server: String,
}

/// Logs a call that did not end with a good answer.
pub(super) fn log_call_end(
    name: &LogName,
    attempt: Attempt,
    outcome: ServerOutcome,
    elapsed: Duration,
) {
    if matches!(outcome, ServerOutcome::Answered(status) if status < FAILURE_STATUS) {
        return;
    }
    let elapsed_ms = elapsed.as_millis() as u64;
    let outcome = format!("{outcome:?}");
    log::info!(
        request = name.request,
        server = name.server,
        attempt,
        outcome,
        elapsed_ms;
        "call_failed"
    );
}

/// Lowest HTTP status that counts as a failure of the server.
const FAILURE_STATUS: u16 = 500;

/// Logs the servers on this VM after a change.
pub(super) fn log_servers(servers: &[ServerEntry]) {
    for server in servers {
        log::info!(
            server = &*server.server,
            service = &*server.service,
            cold = server.cold,
            draining = server.draining,
            slots_count = server.slots_count;
            "server_state"
        );
    }
    if servers.is_empty() {
        log::info!("server_absent");
    }
}

/// Logs a server or an incarnation that is announced for the first time.
pub(super) fn log_server_seen(announcement: &Announcement) {
    let address = announcement.address.to_string();
    log::info!(
        server = &*announcement.server,
        service = &*announcement.service,
        address,
        started_at_ms = announcement.started_at_ms,
        sequence = announcement.sequence;
        "server_seen"
    );
}

/// Logs an announcement that is ignored.
pub(super) fn log_announcement_ignored(announcement: &Announcement, reason: IgnoredBecause) {
    let address = announcement.address.to_string();
    log::info!(
        server = &*announcement.server,
        service = &*announcement.service,
        address,
        started_at_ms = announcement.started_at_ms,
        sequence = announcement.sequence,
        reason = reason.name();
        "announcement_ignored"
    );
}
