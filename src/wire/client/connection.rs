//! One connection of the HTTP client: connecting, socket options, and rules for its reuse.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures::future::{select, Either};
use hyper::client::conn::http1::{self, SendRequest};
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};

use super::answer_match::AnswerCheck;
use super::body::BodyStream;
use super::head_limit::{HeadBudget, HeadLimited};
use super::unsent::{Unsent, UnsentTracked};

/// The connection ends when sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);
/// Idle time after which TCP keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// Time between two TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered TCP keepalive probes after which the connection ends.
const KEEPALIVE_PROBE_COUNT: u32 = 3;
/// Greatest number of refused calls that a connection remembers; with more it is not kept.
pub(super) const REFUSED_LIMIT_COUNT: usize = 128;
/// Greatest length of an answer's head.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// A connection of the client; dropping it closes its socket.
pub(super) struct Connection {
    /// Sends requests through the HTTP library.
    pub(super) sender: SendRequest<BodyStream>,
    /// When the last call on it ended; for a new connection, when it was made.
    pub(super) idle_since: Instant,
    /// Longest idle time after which it may be reused, if the server announced one.
    pub(super) idle_limit: Option<Duration>,
    /// Whether it is to be closed after its current answer.
    pub(super) closes_after_answer: bool,
    /// Whether it has carried a call before.
    pub(super) used: bool,
    /// Ids of calls that were refused on it, because a second copy of a refusal may still arrive.
    /// At most `REFUSED_LIMIT_COUNT` while the connection is kept.
    refused_ids: Vec<Box<str>>,
    /// Bytes that may still be received before the head of the current answer.
    pub(super) head_budget: HeadBudget,
    /// Whether bytes of an already answered request are still to be sent.
    unsent: Unsent,
    /// Drives the connection; dropping the task closes the socket.
    _task: Task<()>,
}

impl Connection {
    /// Connects to an address; returns `None` if that fails or takes longer than `timeout`.
    pub(super) async fn open(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
        timeout: Duration,
    ) -> Option<Connection> {
        let connecting = std::pin::pin!(Async::<TcpStream>::connect(address));
        let timed_out = std::pin::pin!(Timer::after(timeout));
        let stream = match select(connecting, timed_out).await {
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
        let stream = UnsentTracked {
            stream,
            unsent: unsent.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .ok()?;
        let task = executor.spawn(async move {
            // The call that uses the connection gets the error.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            idle_since: Instant::now(),
            idle_limit: None,
            closes_after_answer: false,
            used: false,
            refused_ids: Vec::new(),
            head_budget,
            unsent,
            _task: task,
        })
    }

    /// Returns whether the connection is usable and has been idle for no longer than `limit` and
    /// than the server allows.
    pub(super) fn may_reuse(&self, now: Instant, limit: Duration) -> bool {
        let limit = self.idle_limit.map_or(limit, |own| own.min(limit));
        let idle = now.saturating_duration_since(self.idle_since);
        let is_free = self.sender.is_ready() && self.unsent.is_empty();
        idle <= limit && is_free && !self.sender.is_closed()
    }

    /// Returns whether the answer to a call could be distinguished from those to earlier calls.
    pub(super) fn may_carry(&self, check: Option<&dyn AnswerCheck>) -> bool {
        let Some(check) = check else {
            return true;
        };
        let was_refused = |id: &str| self.refused_ids.iter().any(|refused| **refused == *id);
        check.id().is_some_and(|id| !was_refused(id))
    }

    /// Records that the call with that id was refused; after too many, the connection is closed.
    pub(super) fn record_refusal(&mut self, id: Option<&str>) {
        self.refused_ids.extend(id.map(Box::from));
        self.closes_after_answer |= self.refused_ids.len() > REFUSED_LIMIT_COUNT;
    }
}

/// Sets the socket options: small messages are sent at once, and a silent server is detected.
fn set_options(stream: &Async<TcpStream>) {
    let socket = SockRef::from(stream.get_ref());
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBE_COUNT);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("a socket option can't be set: {error}");
    }
}
