//! One connection of the client.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures::future::{select, Either};
use hyper::client::conn::http1::{self, SendRequest};
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};

use super::answer_match::AnswerCheck;
use super::body::SentBody;
use super::head_limit::{HeadBudget, HeadLimited};
use super::unsent::{Unsent, UnsentWatched};

/// Sent bytes that stay unacknowledged for this long end the connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBE_COUNT: u32 = 3;
/// Refused calls of which a connection knows; it is not kept after more.
pub(super) const REFUSED_LIMIT_COUNT: usize = 128;
/// Longest head of an answer.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// A connection; dropping it closes its socket.
pub(super) struct Connection {
    pub(super) sender: SendRequest<SentBody>,
    /// Since when no call uses it.
    pub(super) idle_since: Instant,
    /// How long the receiver keeps it open while it is idle, where it says so.
    pub(super) idle_limit: Option<Duration>,
    /// Whether it is closed after its last answer.
    pub(super) closes: bool,
    /// Whether it carried a call before.
    pub(super) used: bool,
    /// Ids of calls that were refused on it, of which a copy of the refusal may still come. At most
    /// `REFUSED_LIMIT_COUNT` while it is kept.
    refused: Vec<Box<str>>,
    /// Bytes that may come before the head of an answer.
    pub(super) head_budget: HeadBudget,
    /// What the server has not taken yet of requests that it has answered.
    unsent: Unsent,
    _task: Task<()>,
}

impl Connection {
    /// Makes a connection; none without one in time.
    pub(super) async fn open(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
        timeout: Duration,
    ) -> Option<Connection> {
        let connecting = std::pin::pin!(Async::<TcpStream>::connect(address));
        let late = std::pin::pin!(Timer::after(timeout));
        let stream = match select(connecting, late).await {
            Either::Left((Ok(stream), _)) => stream,
            _ => return None,
        };
        set_options(&stream);
        let head_budget = HeadBudget::new();
        let stream = HeadLimited {
            stream,
            budget: head_budget.clone(),
        };
        let unsent = Unsent::default();
        let stream = UnsentWatched {
            stream,
            unsent: unsent.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .ok()?;
        let task = executor.spawn(async move {
            // The call that uses the connection learns of its end.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            idle_since: Instant::now(),
            idle_limit: None,
            closes: false,
            used: false,
            refused: Vec::new(),
            head_budget,
            unsent,
            _task: task,
        })
    }

    /// Whether a call may use it that takes connections idle for no longer than `limit`.
    pub(super) fn may_reuse(&self, now: Instant, limit: Duration) -> bool {
        let limit = self.idle_limit.map_or(limit, |own| own.min(limit));
        let idle = now.saturating_duration_since(self.idle_since);
        let is_free = self.sender.is_ready() && self.unsent.is_empty();
        idle <= limit && is_free && !self.sender.is_closed()
    }

    /// Whether the answer to a call could be told from those to calls before it.
    pub(super) fn may_carry(&self, check: Option<&dyn AnswerCheck>) -> bool {
        let Some(check) = check else {
            return true;
        };
        let refused = |id: &str| self.refused.iter().any(|refused| **refused == *id);
        check.id().is_some_and(|id| !refused(id))
    }

    /// Remembers that a call was refused.
    pub(super) fn refused(&mut self, id: Option<&str>) {
        self.refused.extend(id.map(Box::from));
        self.closes |= self.refused.len() > REFUSED_LIMIT_COUNT;
    }
}

/// Small messages leave at once, and a peer that went silent is noticed.
fn set_options(stream: &Async<TcpStream>) {
    let socket = SockRef::from(stream.get_ref());
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_EVERY)
        .with_retries(KEEPALIVE_PROBE_COUNT);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("an option of a connection can't be set: {error}");
    }
}
