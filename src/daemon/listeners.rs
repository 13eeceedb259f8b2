//! Binds the sockets on which one daemon accepts connections.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use super::shared::SharedResources;
use crate::error::ErrorKind;
use crate::link;
use crate::wire::dialect::{AnsweredRequest, Dialect};
use crate::wire::exchange::{RawHead, WholeAnswer};
use crate::wire::http::header;
use crate::wire::listener::{BoundListener, HttpListener, ListenerOptions, Refusals};
use crate::wire::memory_budget::MemoryBudget;

/// Most bytes that are held of announcements, readiness checks and scrapes.
const CONTROL_HELD_LIMIT_BYTES: usize = 2 * 1024 * 1024;

/// Bound sockets of one daemon.
pub(super) struct Listeners {
    /// Requests of callers to the front.
    pub(super) front: Arc<HttpListener>,
    /// Attempts that daemons send to this daemon's guard.
    pub(super) guard: Arc<HttpListener>,
    /// Announcements of backend servers.
    pub(super) announce: Arc<HttpListener>,
    /// Requests of operators to the operators' API.
    pub(super) operator: Arc<HttpListener>,
    /// Readiness checks; none if the settings name no address.
    pub(super) ready: Option<Arc<HttpListener>>,
    /// Scrapes of the metrics; none if the settings name no address.
    pub(super) metrics: Option<Arc<HttpListener>>,
    /// Control connections of other daemons.
    pub(super) link: TcpListener,
    /// Bound address of `link`.
    pub(super) link_address: SocketAddr,
}

impl Listeners {
    /// Binds all sockets at the addresses of the settings.
    pub(super) fn bind(shared: &SharedResources) -> eyre::Result<Listeners> {
        let settings = &shared.settings;
        let body_bytes = settings.front.retry_body_limit_bytes as u64;
        let budget =
            |name, limit_bytes| MemoryBudget::new(name, limit_bytes, shared.metrics.clone());
        let share = settings.front.request_memory_share;
        let held_bytes = settings.daemon.memory_share_bytes(share);
        let between_daemons = ListenerOptions {
            eager_body_limit_bytes: body_bytes,
            budget: budget("attempts", held_bytes),
            stream_beyond_budget: true,
            metrics: shared.metrics.clone(),
            ..Default::default()
        };
        let to_callers = ListenerOptions {
            budget: budget("uploads", held_bytes),
            chunked_bodies: settings.front.chunked_bodies,
            refusals: Arc::new(CallerRefusals(shared.dialect.clone())),
            ..between_daemons.clone()
        };
        let operator_body_bytes = settings.operator.body_limit_bytes;
        let to_operators = ListenerOptions {
            eager_body_limit_bytes: operator_body_bytes,
            budget: budget("operator", 2 * operator_body_bytes as usize),
            ..Default::default()
        };
        let control = ListenerOptions {
            budget: budget("control", CONTROL_HELD_LIMIT_BYTES),
            ..Default::default()
        };
        let link = link::duty::bind(settings.link.address)?;
        let guard = &settings.guard;
        let front = BoundListener::bind(settings.front.address, to_callers)?;
        let attempts = BoundListener::bind(guard.address, between_daemons)?;
        let mut controls = vec![
            BoundListener::bind(guard.announce_address, control.clone())?,
            BoundListener::bind(settings.operator.address, to_operators)?,
        ];
        let ready = settings.ready.address;
        let metrics = settings.ready.metrics_address;
        for address in [ready, metrics].into_iter().flatten() {
            controls.push(BoundListener::bind(address, control.clone())?);
        }
        let mut controls = HttpListener::start("http-control", controls)
            .into_iter()
            .map(Arc::new);
        let mut next = || controls.next().expect("one handle for each bound listener");
        Ok(Listeners {
            front: Arc::new(front.start("http-front")),
            guard: Arc::new(attempts.start("http-guard")),
            announce: next(),
            operator: next(),
            ready: ready.map(|_| next()),
            metrics: metrics.map(|_| next()),
            link_address: link.local_addr()?,
            link,
        })
    }
}

impl Listeners {
    /// Returns all HTTP listeners, that is, all but the link.
    pub(super) fn http_listeners(&self) -> Vec<Arc<HttpListener>> {
        let always = [&self.front, &self.guard, &self.announce, &self.operator];
        let mut all: Vec<Arc<HttpListener>> = always.into_iter().cloned().collect();
        all.extend(self.ready.clone());
        all.extend(self.metrics.clone());
        all
    }
}

/// Refusals that the front's listener answers itself, in the dialect of the callers.
struct CallerRefusals(Arc<dyn Dialect>);

impl Refusals for CallerRefusals {
    fn refuse(&self, head: &RawHead, kind: ErrorKind) -> WholeAnswer {
        let name = self.0.caller_header_names().request;
        let to = AnsweredRequest {
            request: 0,
            caller_id: name.and_then(|name| header(&head.headers, name)),
        };
        self.0.refusal(to, kind, None)
    }
}
