//! Log lines of the guard.

use std::time::Duration;

use super::message::{Announcement, IgnoredBecause, ServerOutcome};
use crate::membership::ServerEntry;
use crate::types::Attempt;

/// How logs name a request at this guard.
#[derive(Debug, Clone, Default)]
pub(super) struct LogName {
    /// The caller's own id of the request where there is one.
    pub(super) request: String,
    pub(super) server: String,
}

/// One line for each call that did not end with a good answer.
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

/// Lowest status that tells of a server's failure.
const FAILURE_STATUS: u16 = 500;

/// One line for each change of the servers on this VM.
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

/// One line for each server, or life of one, that is seen for the first time.
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

/// One line for each announcement that is left aside.
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
