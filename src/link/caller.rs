//! Calls to peers: a connection on demand, and one answer for each call.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Instant;

use async_executor::LocalExecutor;
use futures::future::{FutureExt, LocalBoxFuture, Shared};

use super::connection::{connect, Connection, Dial};
use super::message::{LinkError, PeerName, PeerRequest};
use super::reply::PendingReply;
use super::state::{ConnectionEnd, PeerState};
use crate::membership::Fleet;
use crate::types::{DaemonId, Incarnation};

/// Whom a call is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum PeerKey {
    /// A daemon that membership knows.
    Daemon(DaemonId),
    /// Whichever daemon answers at a seed address.
    Seed(SocketAddr),
}

type Dialling = Shared<LocalBoxFuture<'static, Result<Rc<Connection>, LinkError>>>;

#[derive(Default)]
struct Peer {
    state: PeerState,
    /// Calls that wait for a connection or an answer.
    calls_count: usize,
    connection: Option<Rc<Connection>>,
    dialling: Option<Dialling>,
}

/// All outgoing connections.
pub(super) struct Caller {
    pub(super) dial: Dial,
    executor: Weak<LocalExecutor<'static>>,
    peers: RefCell<HashMap<PeerKey, Peer>>,
    fleet: RefCell<Arc<Fleet>>,
}

impl Caller {
    pub(super) fn new(dial: Dial, executor: &Rc<LocalExecutor<'static>>) -> Rc<Caller> {
        Rc::new(Caller {
            dial,
            executor: Rc::downgrade(executor),
            peers: RefCell::default(),
            fleet: RefCell::default(),
        })
    }

    /// Whether membership knows a later life of a peer. It hears of that life from membership, and
    /// does nothing else in the fleet.
    pub(super) fn is_earlier_incarnation(&self, peer: &PeerName) -> bool {
        is_earlier(peer, &self.fleet.borrow())
    }

    /// Takes a new snapshot, and the life that it gives this daemon. Connections to peers of which
    /// it names a new later life are closed, so that the next call meets that life.
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
            let is_news = known_incarnation(found, &fleet) != known_incarnation(found, &before);
            if is_news && is_earlier(found, &fleet) {
                connection.close();
                peer.state.forget_earlier_incarnation();
            }
        }
    }

    fn address(&self, key: &PeerKey) -> Option<SocketAddr> {
        match key {
            PeerKey::Seed(address) => Some(*address),
            PeerKey::Daemon(daemon) => {
                let fleet = self.fleet.borrow();
                fleet.daemons.get(daemon).map(|entry| entry.link_address)
            }
        }
    }

    /// Makes one call.
    pub(super) async fn call(
        self: Rc<Self>,
        key: PeerKey,
        request: PeerRequest,
        pending: PendingReply,
    ) {
        if !self.admit(&key) {
            self.dial.metrics.count("link.call.over_limit");
            return pending.end(Err(LinkError::Unreachable));
        }
        let is_membership_request = request.is_membership_request();
        match self.connection(&key, is_membership_request).await {
            Ok(connection)
                if !is_membership_request && self.is_earlier_incarnation(&connection.peer) =>
            {
                self.dial.metrics.count("link.peer.earlier_life");
                pending.end(Err(LinkError::Unreachable));
            }
            Ok(connection) => {
                if connection.ask(&request, pending).await {
                    self.with_peer(&key, |peer| peer.state.answered());
                }
            }
            Err(error) => pending.end(Err(error)),
        }
        self.release(&key);
    }

    fn with_peer<T>(&self, key: &PeerKey, body: impl FnOnce(&mut Peer) -> T) -> Option<T> {
        self.peers.borrow_mut().get_mut(key).map(body)
    }

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

    fn release(&self, key: &PeerKey) {
        self.with_peer(key, |peer| peer.calls_count -= 1);
    }

    /// A connection for a call. One to an earlier life serves membership; for other calls the peer
    /// is dialled anew from time to time.
    async fn connection(
        self: &Rc<Self>,
        key: &PeerKey,
        is_membership_request: bool,
    ) -> Result<Rc<Connection>, LinkError> {
        let dialling = {
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
            peer.dialling
                .get_or_insert_with(|| {
                    self.clone()
                        .dial(key.clone(), address)
                        .boxed_local()
                        .shared()
                })
                .clone()
        };
        dialling.await
    }

    async fn dial(
        self: Rc<Self>,
        key: PeerKey,
        address: SocketAddr,
    ) -> Result<Rc<Connection>, LinkError> {
        let result = connect(&self.dial, address).await;
        self.with_peer(&key, |peer| peer.dialling = None);
        let (connection, system, woken) = match result {
            Ok(made) => made,
            Err(error) => {
                self.ended(&key, ConnectionEnd::Failed);
                return Err(error);
            }
        };
        if !self.expected(&key, &connection) {
            self.dial.metrics.count("link.peer.another");
            self.ended(&key, ConnectionEnd::Failed);
            return Err(LinkError::Unreachable);
        }
        let connection = Rc::new(connection);
        self.take_connection(&key, &connection);
        let executor = self.executor.upgrade().ok_or(LinkError::Unreachable)?;
        let caller = self.clone();
        let watched = connection.clone();
        let watch = async move {
            let end = watched.clone().monitor(system, woken).await;
            caller.with_peer(&key, |peer| {
                peer.connection.take_if(|found| Rc::ptr_eq(found, &watched));
            });
            caller.ended(&key, end);
        };
        executor.spawn(watch).detach();
        Ok(connection)
    }

    /// Puts a new connection in the place of the one before.
    fn take_connection(&self, key: &PeerKey, connection: &Rc<Connection>) {
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

    /// Whether the proven peer is the daemon that was called, in whichever life.
    fn expected(&self, key: &PeerKey, connection: &Connection) -> bool {
        let found = &connection.peer;
        if found.daemon == self.dial.own.borrow().daemon {
            return false;
        }
        match key {
            PeerKey::Daemon(daemon) => found.daemon == *daemon,
            PeerKey::Seed(_) => true,
        }
    }

    fn ended(&self, key: &PeerKey, end: ConnectionEnd) {
        let settings = &self.dial.settings;
        let now = Instant::now();
        let suspect = self.with_peer(key, |peer| peer.state.ended(settings, now, end));
        if suspect == Some(true) {
            self.dial.metrics.count("link.peer.suspect");
            log::info!("peer {key:?} does not answer on new connections");
        }
    }
}

/// Whether a snapshot has a later life of a peer.
fn is_earlier(peer: &PeerName, fleet: &Fleet) -> bool {
    known_incarnation(peer, fleet).is_some_and(|known| known > peer.incarnation)
}

/// The number of a peer's life in a snapshot.
fn known_incarnation(peer: &PeerName, fleet: &Fleet) -> Option<Incarnation> {
    fleet
        .daemons
        .get(&peer.daemon)
        .map(|known| known.incarnation)
}
