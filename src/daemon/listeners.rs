//! The listeners of one daemon.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use super::common::Common;
use crate::error::ErrorKind;
use crate::link;
use crate::wire::dialect::{AnsweredRequest, Dialect};
use crate::wire::exchange::{RawHead, WholeAnswer};
use crate::wire::http::header;
use crate::wire::listener::{HttpListener, ListenerOptions, Refusals};

pub(super) struct Listeners {
    pub(super) front: Arc<HttpListener>,
    pub(super) guard: Arc<HttpListener>,
    pub(super) announce: Arc<HttpListener>,
    pub(super) operator: Arc<HttpListener>,
    pub(super) ready: Option<Arc<HttpListener>>,
    pub(super) metrics: Option<Arc<HttpListener>>,
    pub(super) link: TcpListener,
    pub(super) link_address: SocketAddr,
}

impl Listeners {
    pub(super) fn bind(common: &Common) -> eyre::Result<Listeners> {
        let settings = &common.settings;
        let body_bytes = settings.front.retry_body_limit_bytes as u64;
        let between_daemons = ListenerOptions {
            eager_body_limit_bytes: body_bytes,
            ..Default::default()
        };
        let to_callers = ListenerOptions {
            chunked_bodies: settings.front.chunked_bodies,
            refusals: Arc::new(CallerRefusals(common.dialect.clone())),
            ..between_daemons.clone()
        };
        let to_operators = ListenerOptions {
            eager_body_limit_bytes: settings.operator.body_limit_bytes,
            ..Default::default()
        };
        let small = |address: Option<SocketAddr>| {
            let bind = |address| HttpListener::bind(address, ListenerOptions::default());
            Ok::<_, eyre::Report>(address.map(bind).transpose()?.map(Arc::new))
        };
        let link = link::duty::bind(settings.link.address)?;
        let guard = &settings.guard;
        let announce = ListenerOptions::default();
        Ok(Listeners {
            front: Arc::new(HttpListener::bind(settings.front.address, to_callers)?),
            guard: Arc::new(HttpListener::bind(guard.address, between_daemons)?),
            announce: Arc::new(HttpListener::bind(guard.announce_address, announce)?),
            operator: Arc::new(HttpListener::bind(settings.operator.address, to_operators)?),
            ready: small(settings.ready.address)?,
            metrics: small(settings.ready.metrics_address)?,
            link_address: link.local_addr()?,
            link,
        })
    }
}

impl Listeners {
    /// Every listener for HTTP.
    pub(super) fn all(&self) -> Vec<Arc<HttpListener>> {
        let always = [&self.front, &self.guard, &self.announce, &self.operator];
        let mut all: Vec<Arc<HttpListener>> = always.into_iter().cloned().collect();
        all.extend(self.ready.clone());
        all.extend(self.metrics.clone());
        all
    }
}

/// The front's own refusals, worded as its callers expect them.
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
