//! Pool of idle connections, by address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Weak;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;

use super::answer_match::AnswerCheck;
use super::connection::Connection;
use crate::wire::memory_budget::MemoryBudget;

/// Greatest number of idle connections to one address; beyond it the oldest is closed.
const IDLE_LIMIT_COUNT: usize = 16;
/// Connections idle for longer than this are closed when another one to the address is returned.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Idle connections of the client; for each address the one used last is the last.
pub(super) struct Pool {
    /// Executor of the client's thread.
    executor: Weak<LocalExecutor<'static>>,
    /// Budget that answers are charged to.
    pub(super) budget: MemoryBudget,
    /// Idle connections by address, in the order of their last use.
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Returns a pool without connections.
    pub(super) fn new(executor: Weak<LocalExecutor<'static>>, budget: MemoryBudget) -> Pool {
        Pool {
            executor,
            budget,
            idle: RefCell::default(),
        }
    }

    /// Takes out the connection that was used last of those that may carry the call.
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

    /// Returns a connection to the pool for later calls.
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

    /// Closes all idle connections to an address, because the path to it may have failed.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Opens a new connection, which is not in the pool yet.
    pub(super) async fn open(&self, address: SocketAddr, timeout: Duration) -> Option<Connection> {
        let executor = self.executor.upgrade()?;
        Connection::open(&executor, address, timeout).await
    }
}
