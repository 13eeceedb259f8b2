//! Outgoing calls: connects to peers on demand and completes each call with exactly one result.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Instant;

use async_executor::LocalExecutor;
use futures::future::{FutureExt, LocalBoxFuture, Shared};

use super::connection::{connect, Connection, DialContext};
use super::message::{LinkError, PeerName, PeerRequest};
use super::reply::PendingReply;
use super::state::{ConnectionEnd, PeerState};
use crate::membership::Fleet;
use crate::types::{DaemonId, Incarnation};

/// The destination of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum PeerKey {
    /// A daemon whose address membership knows.
    Daemon(DaemonId),
    /// Whichever daemon answers at a seed address.
    Seed(SocketAddr),
}

/// An attempt to connect that is in progress; all calls to the peer wait for the same one.
type PendingConnection = Shared<LocalBoxFuture<'static, Result<Rc<Connection>, LinkError>>>;

/// State of one destination of calls.
#[derive(Default)]
struct Peer {
    state: PeerState,
    /// Calls that wait for a connection or for an answer.
    calls_count: usize,
    connection: Option<Rc<Connection>>,
    pending_connection: Option<PendingConnection>,
}

/// Owns all outgoing connections and the latest snapshot of the fleet.
pub(super) struct Caller {
    /// Settings and identity for new connections.
    pub(super) dial: DialContext,
    /// Runs the monitors of the connections.
    executor: Weak<LocalExecutor<'static>>,
    peers: RefCell<HashMap<PeerKey, Peer>>,
    /// Latest snapshot of the fleet.
    fleet: RefCell<Arc<Fleet>>,
}

impl Caller {
    pub(super) fn new(dial: DialContext, executor: &Rc<LocalExecutor<'static>>) -> Rc<Caller> {
        Rc::new(Caller {
            dial,
            executor: Rc::downgrade(executor),
            peers: RefCell::default(),
            fleet: RefCell::default(),
        })
    }

    /// Returns whether membership knows a later incarnation of a peer. Such a peer learns of that
    /// incarnation by membership requests, and may take no other part in the fleet.
    pub(super) fn is_earlier_incarnation(&self, peer: &PeerName) -> bool {
        is_earlier(peer, &self.fleet.borrow())
    }

    /// Takes a new snapshot of the fleet, and this daemon's incarnation from it. Closes connections
    /// to peers for which it has a new, later incarnation, so that the next call reaches that one.
    pub(super) fn set_fleet(&self, fleet: Arc<Fleet>) {
        let mut own = self.dial.own.borrow_mut();
        if let Some(entry) = fleet.daemons.get(&own.daemon) {
            own.incarnation = own.incarnation.max(entry.incarnation);
        }
        let before = self.fleet.replace(fleet);
        let fleet = self.fleet.borrow();
        for peer in self.peers.borrow_mut().values_mut() {
            let Some(connection) = &peer.connection else {
                continue;
            };
            let found = &connection.peer;
            let is_new = known_incarnation(found, &fleet) != known_incarnation(found, &before);
            if is_new && is_earlier(found, &fleet) {
                connection.close();
                peer.state.forget_earlier_incarnation();
            }
        }
    }

    /// Returns the address to dial for a destination; `None` for a daemon that is not in the fleet.
    fn address(&self, key: &PeerKey) -> Option<SocketAddr> {
        match key {
            PeerKey::Seed(address) => Some(*address),
            PeerKey::Daemon(daemon) => {
                let fleet = self.fleet.borrow();
                fleet.daemons.get(daemon).map(|entry| entry.link_address)
            }
        }
    }

    /// Sends one call, connecting first if necessary, and completes `pending` with its result.
    pub(super) async fn call(
        self: Rc<Self>,
        key: PeerKey,
        request: PeerRequest,
        pending: PendingReply,
    ) {
        if !self.admit(&key) {
            self.dial.metrics.count("link.call.over_limit");
            return pending.complete(Err(LinkError::Unreachable));
        }
        let is_membership_request = request.is_membership_request();
        match self.connection(&key, is_membership_request).await {
            Ok(connection)
                if !is_membership_request && self.is_earlier_incarnation(&connection.peer) =>
            {
                self.dial.metrics.count("link.peer.earlier_life");
                pending.complete(Err(LinkError::Unreachable));
            }
            Ok(connection) => {
                if connection.ask(&request, pending).await {
                    self.with_peer(&key, |peer| peer.state.record_answer());
                }
            }
            Err(error) => pending.complete(Err(error)),
        }
        self.release(&key);
    }

    /// Calls `body` with the state of a destination, if it has one.
    fn with_peer<T>(&self, key: &PeerKey, body: impl FnOnce(&mut Peer) -> T) -> Option<T> {
        self.peers.borrow_mut().get_mut(key).map(body)
    }

    /// Counts a call as in flight and returns true, or returns false if a limit is reached. At the
    /// limit of peers, one without calls and connection is forgotten.
    fn admit(&self, key: &PeerKey) -> bool {
        let settings = &self.dial.settings;
        let mut peers = self.peers.borrow_mut();
        if !peers.contains_key(key) && peers.len() >= settings.dialled_limit_count {
            let idle = peers
                .iter()
                .find(|(_, peer)| peer.calls_count == 0 && peer.connection.is_none())
                .map(|(key, _)| key.clone());
            let Some(idle) = idle else {
                return false;
            };
            peers.remove(&idle);
        }
        let peer = peers.entry(key.clone()).or_default();
        if peer.calls_count >= settings.calls_limit_count {
            return false;
        }
        peer.calls_count += 1;
        true
    }

    /// Ends the count of a call that was admitted.
    fn release(&self, key: &PeerKey) {
        self.with_peer(key, |peer| peer.calls_count -= 1);
    }

    /// Returns a connection for a call, making one if necessary. A connection to an earlier
    /// incarnation is used for membership requests; for other calls the peer is dialled again from
    /// time to time.
    async fn connection(
        self: &Rc<Self>,
        key: &PeerKey,
        is_membership_request: bool,
    ) -> Result<Rc<Connection>, LinkError> {
        let pending_connection = {
            let mut peers = self.peers.borrow_mut();
            let peer = peers.get_mut(key).ok_or(LinkError::Unreachable)?;
            let own_incarnation = self.dial.own.borrow().incarnation;
            let now = Instant::now();
            let may_redial = !is_membership_request && peer.state.may_redial(now);
            let usable = |found: &&Rc<Connection>| {
                let redials = may_redial && self.is_earlier_incarnation(&found.peer);
                found.is_open() && found.own_incarnation == own_incarnation && !redials
            };
            if let Some(connection) = peer.connection.as_ref().filter(usable) {
                return Ok(connection.clone());
            }
            if !peer.state.may_dial(now) {
                self.dial.metrics.count("link.call.suspect");
                return Err(LinkError::Unreachable);
            }
            let address = self.address(key).ok_or(LinkError::Unreachable)?;
            peer.pending_connection
                .get_or_insert_with(|| {
                    self.clone()
                        .dial(key.clone(), address)
                        .boxed_local()
                        .shared()
                })
                .clone()
        };
        pending_connection.await
    }

    /// Connects to a peer, and starts the monitor of the new connection.
    async fn dial(
        self: Rc<Self>,
        key: PeerKey,
        address: SocketAddr,
    ) -> Result<Rc<Connection>, LinkError> {
        let result = connect(&self.dial, address).await;
        self.with_peer(&key, |peer| peer.pending_connection = None);
        let (connection, system, woken) = match result {
            Ok(connected) => connected,
            Err(error) => {
                self.record_end(&key, ConnectionEnd::Failed);
                return Err(error);
            }
        };
        if !self.is_expected(&key, &connection) {
            self.dial.metrics.count("link.peer.another");
            self.record_end(&key, ConnectionEnd::Failed);
            return Err(LinkError::Unreachable);
        }
        let connection = Rc::new(connection);
        self.replace_connection(&key, &connection);
        let executor = self.executor.upgrade().ok_or(LinkError::Unreachable)?;
        let caller = self.clone();
        let monitored = connection.clone();
        let monitor = async move {
            let end = monitored.clone().monitor(system, woken).await;
            caller.with_peer(&key, |peer| {
                peer.connection
                    .take_if(|found| Rc::ptr_eq(found, &monitored));
            });
            caller.record_end(&key, end);
        };
        executor.spawn(monitor).detach();
        Ok(connection)
    }

    /// Makes a new connection the one that calls use. A former one to an earlier incarnation is
    /// closed unless calls are in flight on it.
    fn replace_connection(&self, key: &PeerKey, connection: &Rc<Connection>) {
        let earlier = self.is_earlier_incarnation(&connection.peer);
        let settings = &self.dial.settings;
        self.with_peer(key, |peer| {
            match earlier {
                true => peer.state.saw_earlier_incarnation(settings, Instant::now()),
                false => peer.state.forget_earlier_incarnation(),
            }
            let former = peer.connection.replace(connection.clone());
            if let Some(former) = former.filter(|former| self.is_earlier_incarnation(&former.peer))
            {
                former.close_unused();
            }
        });
    }

    /// Returns whether the authenticated peer is the daemon that was called, in any incarnation,
    /// and not this daemon itself.
    fn is_expected(&self, key: &PeerKey, connection: &Connection) -> bool {
        let found = &connection.peer;
        if found.daemon == self.dial.own.borrow().daemon {
            return false;
        }
        match key {
            PeerKey::Daemon(daemon) => found.daemon == *daemon,
            PeerKey::Seed(_) => true,
        }
    }

    /// Records the end of a connection, and counts and logs a peer that became suspect by it.
    fn record_end(&self, key: &PeerKey, end: ConnectionEnd) {
        let settings = &self.dial.settings;
        let now = Instant::now();
        let suspect = self.with_peer(key, |peer| peer.state.record_end(settings, now, end));
        if suspect == Some(true) {
            self.dial.metrics.count("link.peer.suspect");
            log::info!("peer {key:?} does not answer on new connections");
        }
    }
}

/// Returns whether a snapshot of the fleet has a later incarnation of a peer.
fn is_earlier(peer: &PeerName, fleet: &Fleet) -> bool {
    known_incarnation(peer, fleet).is_some_and(|known| known > peer.incarnation)
}

/// Returns the incarnation of a peer's daemon in a snapshot of the fleet.
fn known_incarnation(peer: &PeerName, fleet: &Fleet) -> Option<Incarnation> {
    fleet
        .daemons
        .get(&peer.daemon)
        .map(|known| known.incarnation)
}
