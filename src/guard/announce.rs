//! The thread that takes announcements of the backend servers on this VM.
//!
//! `POST /announce` with an `Announcement`; `DELETE /announce/SERVER` withdraws it.

use std::io::Read;
use std::sync::Arc;

use super::message::{Announcement, GuardEvent, GuardMessage};
use crate::ring::RingSender;
use crate::wire::exchange::{Exchange, WholeAnswer};
use crate::wire::listener::HttpListener;

/// Takes announcements until the listener is closed.
pub fn run(listener: &Arc<HttpListener>, guard: &RingSender<GuardMessage>) {
    while let Some((raw, mut exchange)) = listener.next() {
        let event = match (raw.method.as_str(), raw.target.as_str()) {
            ("POST", "/announce") => read(&mut *exchange).map(GuardEvent::Announced),
            ("DELETE", target) => match target.strip_prefix("/announce/") {
                Some(server) => Ok(GuardEvent::Withdrawn(server.into())),
                None => Err("no such path".to_owned()),
            },
            _ => Err("POST /announce or DELETE /announce/SERVER".to_owned()),
        };
        let (status, text) = match event {
            Ok(event) => {
                guard.deliver(GuardMessage::Event(event));
                (200, "{}".to_owned())
            }
            Err(problem) => (400, problem),
        };
        exchange.answer(WholeAnswer {
            status,
            body: text.into_bytes(),
            ..Default::default()
        });
    }
}

const ANNOUNCEMENT_LIMIT_BYTES: u64 = 16 * 1024;

fn read(exchange: &mut dyn Exchange) -> Result<Announcement, String> {
    let mut text = String::new();
    let mut body = exchange.body().take(ANNOUNCEMENT_LIMIT_BYTES);
    body.read_to_string(&mut text)
        .map_err(|error| error.to_string())?;
    let announcement: Announcement =
        serde_json::from_str(&text).map_err(|error| error.to_string())?;
    if announcement.server.is_empty() || announcement.service.is_empty() {
        return Err("server and service must not be empty".to_owned());
    }
    if announcement.slots_count == 0 {
        return Err("slots_count: 0 must be at least 1".to_owned());
    }
    Ok(announcement)
}
