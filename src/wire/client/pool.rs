//! Idle connections, by address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Weak;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;

use super::answer_match::AnswerCheck;
use super::connection::Connection;

/// Idle connections to one address; more are closed.
const IDLE_LIMIT_COUNT: usize = 16;
/// Idle connections older than this are closed when another one comes back.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Idle connections, newest last.
pub(super) struct Pool {
    executor: Weak<LocalExecutor<'static>>,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    pub(super) fn new(executor: Weak<LocalExecutor<'static>>) -> Pool {
        Pool {
            executor,
            idle: RefCell::default(),
        }
    }

    /// A connection that was used last and may be used again.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        limit: Duration,
        check: Option<&dyn AnswerCheck>,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|connection| !connection.sender.is_closed());
        let place = connections
            .iter()
            .rposition(|kept| kept.may_reuse(now, limit) && kept.may_carry(check))?;
        Some(connections.remove(place))
    }

    /// Keeps a connection for later calls.
    pub(super) fn put(&self, address: SocketAddr, mut connection: Connection) {
        let now = Instant::now();
        connection.idle_since = now;
        connection.used = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.retain(|kept| now.saturating_duration_since(kept.idle_since) < IDLE_LIMIT);
        if connections.len() == IDLE_LIMIT_COUNT {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes idle connections to an address whose path went silent.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Makes a new connection.
    pub(super) async fn open(&self, address: SocketAddr, timeout: Duration) -> Option<Connection> {
        let executor = self.executor.upgrade()?;
        Connection::open(&executor, address, timeout).await
    }
}
