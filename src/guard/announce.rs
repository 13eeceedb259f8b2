//! The thread that takes announcements of the backend servers on this VM.

use std::sync::Arc;

use crossbeam::channel::bounded;

use super::message::{AnnounceVerdict, Announcement, GuardEvent, GuardMessage, IgnoredBecause};
use crate::ring::RingSender;
use crate::wire::exchange::{RawHead, RequestBody, WholeAnswer};
use crate::wire::listener::HttpListener;

/// Reads announcements, however they are worded.
pub trait AnnouncementDialect: Send + Sync {
    /// What the server says, or what is wrong with it.
    fn read(&self, head: &RawHead, body: &[u8]) -> Result<GuardEvent, String>;

    /// The answer to an announcement that was taken.
    fn taken(&self) -> WholeAnswer;
}

/// The product's own wording: `POST /announce` with an `Announcement`; `DELETE /announce/SERVER`
/// withdraws it.
#[derive(Debug, Default, Clone, Copy)]
pub struct FleetAnnouncements;

impl AnnouncementDialect for FleetAnnouncements {
    fn read(&self, head: &RawHead, body: &[u8]) -> Result<GuardEvent, String> {
        match (head.method.as_str(), head.target.as_str()) {
            ("POST", "/announce") => parse(body).map(GuardEvent::Announced),
            ("DELETE", target) => match target.strip_prefix("/announce/") {
                Some(server) => Ok(GuardEvent::Withdrawn(server.into())),
                None => Err("no such path".to_owned()),
            },
            _ => Err("POST /announce or DELETE /announce/SERVER".to_owned()),
        }
    }

    fn taken(&self) -> WholeAnswer {
        WholeAnswer {
            status: 200,
            body: b"{}".to_vec(),
            ..Default::default()
        }
    }
}

fn parse(body: &[u8]) -> Result<Announcement, String> {
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

/// Takes announcements until the listener is closed. One is acknowledged only once the guard has
/// taken it.
pub fn run(
    listener: &Arc<HttpListener>,
    dialect: &dyn AnnouncementDialect,
    guard: &RingSender<GuardMessage>,
) {
    while let Some((head, exchange)) = listener.next() {
        let event = match exchange.body() {
            RequestBody::Whole(body) => dialect.read(&head, &body),
            RequestBody::Parts { .. } => Err("the announcement is too long".to_owned()),
        };
        let answer = match event {
            Ok(event) => match verdict_on(event, guard) {
                Some(Ok(()) | Err(IgnoredBecause::Outdated)) => dialect.taken(),
                Some(Err(reason)) => refused(STATUS_REFUSED, reason.name()),
                None => refused(STATUS_STOPPING, "the daemon stops"),
            },
            Err(problem) => {
                log::warn!(target = head.target, problem; "announcement_unreadable");
                refused(STATUS_REFUSED, &problem)
            }
        };
        exchange.answer(answer);
    }
}

const STATUS_REFUSED: u16 = 400;
const STATUS_STOPPING: u16 = 503;

/// What the guard makes of an announcement; none from a guard that ends.
fn verdict_on(event: GuardEvent, guard: &RingSender<GuardMessage>) -> Option<AnnounceVerdict> {
    let (verdict, answered) = bounded(1);
    guard.deliver(GuardMessage::Announce { event, verdict });
    answered.recv().ok()
}

fn refused(status: u16, problem: &str) -> WholeAnswer {
    WholeAnswer {
        status,
        body: problem.as_bytes().to_vec(),
        ..Default::default()
    }
}
