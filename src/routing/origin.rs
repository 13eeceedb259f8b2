//! Decides in whose name a request is sent: the service on this VM when the request arrived.
//!
//! The settings name the service, and their file may change at any time. So a request waits for a
//! read of the file that began after its arrival. If that read brings another name, requests that
//! arrived since the last read of the former name may be of either service and get none.

use std::time::{Duration, Instant};

use crate::reload::ServiceRead;
use crate::types::ServiceId;

/// Longest time for which a request may have waited in its socket before it was read, for example
/// while the process stood still.
const SOCKET_WAIT: Duration = Duration::from_millis(100);

/// Longest wait of a request for a read of the settings that brings a name.
pub(super) const READ_LIMIT: Duration = Duration::from_millis(250);

/// What is known of the origin of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum OriginAt {
    /// The service in whose name the request is sent; empty only if servers need no origin.
    Known(ServiceId),
    /// The request may be of either of two services, or no service is on this VM.
    Unknown,
    /// The settings file has to be read first.
    Unconfirmed,
}

/// The service on this VM, in whose name requests are sent.
pub(super) struct Origin {
    /// Whether servers are told the origin of each request.
    needed: bool,
    /// Whether the settings are read from a file, which may change.
    from_file: bool,
    /// Service that the settings name; empty if they name none.
    named: ServiceId,
    /// Whether the announced server gives the name if the settings name none.
    from_announcements: bool,
    /// Service of the server that announced itself on this VM; empty without one, and if
    /// announcements give no name.
    announced: ServiceId,
    /// Requests that began before this may be older than the present name; `None` from the start.
    since: Option<Instant>,
    /// When the last read of the present name began.
    confirmed_at: Option<Instant>,
    /// The name before; `None` if there was none or no read confirmed it.
    former: Option<FormerName>,
    /// Whether the server on this VM is shown to be of another service than the settings name.
    contradicted: bool,
    /// When the first of the last reads ended that brought no name.
    unreadable_since: Option<Instant>,
}

/// A name that the settings gave before the present one.
struct FormerName {
    /// The service.
    service: ServiceId,
    /// Requests that began before this may be older than the name; `None` from the start.
    since: Option<Instant>,
    /// When the last read of the name began.
    confirmed_at: Instant,
}

impl FormerName {
    /// Returns whether the settings gave this name all the while in which a request arrived.
    fn covers(&self, began_at: Instant, arrived_at: Instant) -> bool {
        let is_old = self.since.is_some_and(|since| began_at < since);
        !is_old && arrived_at <= self.confirmed_at
    }
}

impl Origin {
    /// Returns the origin of requests of a daemon that was started with this name; with `None`, the
    /// announced server gives it. `needed` says whether servers are told it, and `from_file` whether
    /// reads of a file confirm it.
    pub(super) fn new(named: Option<ServiceId>, needed: bool, from_file: bool) -> Origin {
        Origin {
            needed,
            from_file,
            from_announcements: named.is_none(),
            named: named.unwrap_or_else(|| "".into()),
            announced: "".into(),
            since: None,
            confirmed_at: None,
            former: None,
            contradicted: false,
            unreadable_since: None,
        }
    }

    /// Returns what is known at `now` of the origin of a request whose first bytes arrived at
    /// `began_at` or later, and which had arrived at `arrived_at`.
    pub(super) fn at(&self, now: Instant, (began_at, arrived_at): (Instant, Instant)) -> OriginAt {
        if !self.needed {
            return OriginAt::Known(self.present().clone());
        }
        if self.from_file && self.confirmed_at.is_none_or(|at| at < arrived_at) {
            let unreadable = self
                .unreadable_since
                .is_some_and(|at| now >= at + READ_LIMIT);
            return match unreadable {
                true => OriginAt::Unknown,
                false => OriginAt::Unconfirmed,
            };
        }
        if self.contradicted {
            return OriginAt::Unknown;
        }
        let name = match self.since.is_some_and(|since| began_at < since) {
            false => self.present(),
            true => match &self.former {
                Some(former) if former.covers(began_at, arrived_at) => &former.service,
                _ => return OriginAt::Unknown,
            },
        };
        match name.is_empty() {
            true => OriginAt::Unknown,
            false => OriginAt::Known(name.clone()),
        }
    }

    /// Returns the name for requests that arrive now.
    pub(super) fn present(&self) -> &ServiceId {
        match self.named.is_empty() {
            true => &self.announced,
            false => &self.named,
        }
    }

    /// Records which service a read of the settings named. Returns whether it is another one.
    pub(super) fn confirm(&mut self, read: ServiceRead) -> bool {
        let Some(service) = read.service else {
            self.unreadable_since.get_or_insert(read.ended_at);
            return false;
        };
        self.unreadable_since = None;
        let changed = service != self.named;
        if changed {
            let former = std::mem::replace(&mut self.named, service);
            self.former = self.confirmed_at.map(|confirmed_at| FormerName {
                service: former,
                since: self.since,
                confirmed_at,
            });
            self.since = Some(read.ended_at + SOCKET_WAIT);
        }
        self.confirmed_at = Some(read.began_at);
        changed
    }

    /// Records whether the server on this VM is shown to be of another service than the settings
    /// name. If so, the settings are out of date, and nothing tells since when.
    pub(super) fn contradict(&mut self, contradicted: bool) {
        self.contradicted = contradicted;
    }

    /// Records the service of the server on this VM; empty without one.
    pub(super) fn announce(&mut self, service: ServiceId) {
        if self.from_announcements {
            self.announced = service;
        }
    }
}
