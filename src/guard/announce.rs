//! Thread that receives the announcements of the backend servers on this VM.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;

use super::message::{AnnounceVerdict, Announcement, GuardEvent, GuardMessage, IgnoredBecause};
use crate::contract::check::SLOTS_LIMIT_COUNT;
use crate::incarnation::INCARNATION_LIMIT;
use crate::membership::bounds::NAME_LIMIT_BYTES;
use crate::metrics::Metrics;
use crate::reload::ReloadMessage;
use crate::report_once::{shortened, ReportOnce};
use crate::ring::RingSender;
use crate::wire::exchange::{RawHead, RequestBody, WholeAnswer};
use crate::wire::listener::HttpListener;

/// Parses announcements in the format of one kind of backend server.
pub trait AnnouncementDialect: Send + Sync {
    /// Parses an announcement or a withdrawal, or describes what is wrong with it.
    fn read(&self, head: &RawHead, body: &[u8]) -> Result<GuardEvent, String>;

    /// Returns the answer to an announcement that was accepted.
    fn accepted_answer(&self) -> WholeAnswer;
}

/// The product's own format: `POST /announce` with an `Announcement` as JSON; `DELETE
/// /announce/SERVER` withdraws it.
#[derive(Debug, Default, Clone, Copy)]
pub struct FleetAnnouncements;

impl AnnouncementDialect for FleetAnnouncements {
    /// Parses `POST /announce` and `DELETE /announce/SERVER`.
    fn read(&self, head: &RawHead, body: &[u8]) -> Result<GuardEvent, String> {
        match (head.method.as_str(), head.target.as_str()) {
            ("POST", "/announce") => parse_announcement(body).map(GuardEvent::Announced),
            ("DELETE", target) => match target.strip_prefix("/announce/") {
                Some(server) => Ok(GuardEvent::Withdrawn {
                    server: server.into(),
                    started_at_ms: 0,
                }),
                None => Err("no such path".to_owned()),
            },
            _ => Err("POST /announce or DELETE /announce/SERVER".to_owned()),
        }
    }

    /// Returns status 200 with an empty JSON object.
    fn accepted_answer(&self) -> WholeAnswer {
        WholeAnswer {
            status: 200,
            body: "{}".into(),
            ..Default::default()
        }
    }
}

/// Parses the JSON body of an announcement and checks that required values are present.
fn parse_announcement(body: &[u8]) -> Result<Announcement, String> {
    let announcement: Announcement =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if announcement.server.is_empty() || announcement.service.is_empty() {
        return Err("server and service must not be empty".to_owned());
    }
    if announcement.slots_count == 0 {
        return Err("slots_count: 0 must be at least 1".to_owned());
    }
    Ok(announcement)
}

/// Latest start time of a server that is accepted: the end of the year 9999, in milliseconds since
/// the epoch.
const STARTED_AT_LIMIT_MS: u64 = INCARNATION_LIMIT;
/// Highest sequence number of an announcement.
const SEQUENCE_LIMIT: u64 = 1 << 53;

impl Announcement {
    /// Checks every value against its bounds. No later announcement could follow a start time or a
    /// sequence number beyond them.
    pub fn check(&self) -> Result<(), String> {
        for (field, name) in [("server", &self.server), ("service", &self.service)] {
            if !(1..=NAME_LIMIT_BYTES).contains(&name.len()) {
                return Err(format!("{field} must have 1 to {NAME_LIMIT_BYTES} bytes"));
            }
        }
        if self.software_version.len() > NAME_LIMIT_BYTES {
            return Err(format!(
                "software_version must have at most {NAME_LIMIT_BYTES} bytes"
            ));
        }
        if !(1..=SLOTS_LIMIT_COUNT).contains(&self.slots_count) {
            let count = self.slots_count;
            return Err(format!(
                "slots_count: {count} must be from 1 to {SLOTS_LIMIT_COUNT}"
            ));
        }
        if self.started_at_ms > STARTED_AT_LIMIT_MS {
            let at_ms = self.started_at_ms;
            return Err(format!(
                "started_at_ms: {at_ms} must be at most {STARTED_AT_LIMIT_MS}"
            ));
        }
        if self.sequence > SEQUENCE_LIMIT {
            let sequence = self.sequence;
            return Err(format!(
                "sequence: {sequence} must be at most {SEQUENCE_LIMIT}"
            ));
        }
        Ok(())
    }
}

/// Parses an announcement or a withdrawal and checks the bounds of its values.
pub fn read(
    dialect: &dyn AnnouncementDialect,
    head: &RawHead,
    body: &[u8],
) -> Result<GuardEvent, String> {
    let event = dialect.read(head, body)?;
    if let GuardEvent::Announced(announcement) = &event {
        announcement.check()?;
    }
    Ok(event)
}

/// Dependencies of the thread.
pub struct AnnounceContext {
    /// Listener to which servers send announcements.
    pub listener: Arc<HttpListener>,
    /// Format of the announcements.
    pub dialect: Arc<dyn AnnouncementDialect>,
    /// Ring of the guard's thread.
    pub guard: RingSender<GuardMessage>,
    /// Ring of the thread that reads the settings file; `None` if the settings come from no file.
    pub reload: Option<RingSender<ReloadMessage>>,
    /// Counters of refused announcements.
    pub metrics: Metrics,
}

/// Receives announcements until the listener is closed. An announcement is acknowledged only after
/// the guard has decided on it.
pub fn run(context: &AnnounceContext) {
    let AnnounceContext {
        dialect, metrics, ..
    } = context;
    let mut reported = ReportOnce::default();
    while let Some((head, exchange)) = context.listener.next() {
        let event = match exchange.body() {
            RequestBody::Whole(body) => read(&**dialect, &head, &body),
            RequestBody::Parts { .. } => Err("the announcement is too long".to_owned()),
        };
        let answer = match event {
            Ok(event) => match decide(context, event) {
                Some(Ok(()) | Err(IgnoredBecause::Outdated)) => dialect.accepted_answer(),
                Some(Err(reason)) => refusal_answer(STATUS_REFUSED, reason.name()),
                None => refusal_answer(STATUS_UNDECIDED, "the daemon has not decided"),
            },
            Err(problem) => {
                let problem = shortened(&problem);
                metrics.count("guard.announcement.refused");
                if reported.is_new(&head.target, problem) {
                    let path = shortened(&head.target);
                    log::warn!(path, problem; "announcement_refused");
                }
                refusal_answer(STATUS_REFUSED, problem)
            }
        };
        exchange.answer(answer);
    }
}

/// Status of the answer to an announcement that is malformed or that the guard ignored.
const STATUS_REFUSED: u16 = 400;
/// Status of the answer when the guard has not decided in time.
const STATUS_UNDECIDED: u16 = 503;

/// Longest wait for the guard's verdict. Below one second, after which a server assumes that its
/// announcement was lost.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest wait for a read of the settings file.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns the guard's verdict on an announcement; `None` if the guard has ended or is too slow. If
/// the announcement contradicts the settings, their file may be newer, so it is read before the
/// verdict counts.
fn decide(context: &AnnounceContext, event: GuardEvent) -> Option<AnnounceVerdict> {
    let until = Instant::now() + VERDICT_TIMEOUT;
    let verdict = ask_guard(event.clone(), &context.guard, until)?;
    let contradicts = verdict.is_err_and(IgnoredBecause::contradicts_settings);
    let Some(reload) = context.reload.as_ref().filter(|_| contradicts) else {
        return Some(verdict);
    };
    let (done, read) = bounded(1);
    let asked = reload.offer(ReloadMessage::Contradicted { done }).is_ok();
    if !asked || read.recv_timeout(READ_TIMEOUT).is_err() {
        return Some(verdict);
    }
    ask_guard(event, &context.guard, until)
}

/// Returns the guard's verdict on an announcement; `None` if the guard has ended or is too slow.
fn ask_guard(
    event: GuardEvent,
    guard: &RingSender<GuardMessage>,
    until: Instant,
) -> Option<AnnounceVerdict> {
    let (verdict, answered) = bounded(1);
    guard.deliver(GuardMessage::Announce { event, verdict });
    // A ring keeps what its reader left in it, so the wait for a guard that has ended is bounded.
    answered.recv_deadline(until).ok()
}

/// Builds the answer to an announcement that was not accepted.
fn refusal_answer(status: u16, problem: &str) -> WholeAnswer {
    WholeAnswer {
        status,
        body: problem.to_owned().into(),
        ..Default::default()
    }
}
