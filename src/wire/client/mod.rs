//! HTTP client for calls to backend servers and daemons. One thread owns all connections and keeps
//! idle ones for later calls.
//!
//! A call is started with a callback and returns a handle. Dropping the handle ends the call and
//! closes its connection, from which the server learns that nobody waits for the answer any more.

mod answer;
mod answer_body;
mod answer_match;
mod body;
mod connection;
mod head_limit;
mod pool;
mod unsent;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use futures::future::{select, Either};
use thiserror::Error;

pub use answer_match::{AnswerCheck, AnswerMatch};
pub use body::OutgoingBody;

use super::exchange::WholeAnswer;
use super::http::HeaderPair;
use super::memory_budget::MemoryBudget;
use crate::ring::spawn_duty;
use pool::Pool;

/// An HTTP request to be sent, with its limits.
pub struct Call {
    /// Address to connect to.
    pub address: SocketAddr,
    /// HTTP method of the request.
    pub method: String,
    /// Path of the request with its query.
    pub target: String,
    /// Value of the `Host` header; `None` uses the address.
    pub host: Option<String>,
    /// Headers in order; hop-by-hop headers among them are not sent.
    pub headers: Vec<HeaderPair>,
    /// The body, complete or in parts.
    pub body: OutgoingBody,
    /// Longest wait for a new connection.
    pub connect_timeout: Duration,
    /// Time by which the answer must have arrived completely.
    pub deadline_at: Instant,
    /// Greatest length of the answer's body.
    pub answer_limit_bytes: usize,
    /// A kept connection is reused if it was idle for no longer than this. Zero sends the call with
    /// `Connection: close`, and its connection is not kept.
    pub reuse_idle: Duration,
    /// Whether to connect once more after the connection broke, to distinguish a server that
    /// crashed from one that closed a single connection.
    pub reconnect_check: bool,
    /// Distinguishes the call's own answer from those to other calls; `None` accepts any answer.
    pub check: Option<Box<dyn AnswerCheck>>,
}

/// Reason why a call got no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection could be made, so nothing was sent.
    #[error("no connection")]
    NotSent,
    /// The method, the target or a header can't be written as HTTP; nothing was sent.
    #[error("the call can't be written as HTTP")]
    Unwritable,
    /// The body's source ended early, so the server did not get a complete request.
    #[error("the body ended early")]
    ShortBody,
    /// No complete answer arrived before the deadline.
    #[error("no answer before the deadline")]
    Late,
    /// The connection broke after the request was sent.
    #[error("the connection broke")]
    Broken,
    /// The connection broke, and the server refuses new ones.
    #[error("the connection broke and no new one is taken")]
    Died,
    /// The answer was shorter than its length, malformed, or belongs to another call.
    #[error("the answer was incomplete")]
    ShortAnswer,
    /// The answer's body exceeds `answer_limit_bytes`.
    #[error("the answer is over its limit")]
    AnswerTooLarge,
    /// The answer was ended before it was complete, because the answers held too much memory.
    #[error("the answer was ended to free memory")]
    Evicted,
}

/// Callback for the result of a call, called on the client's thread. It is not called if the call's
/// handle was dropped before the call ended.
pub type CallDone = Box<dyn FnOnce(Result<WholeAnswer, CallError>) + Send>;

/// Keeps a call running; dropping it ends the call and closes its connection.
pub struct CallHandle {
    /// Closes its channel when dropped, which ends the call; a message on it detaches the call.
    alive: async_channel::Sender<()>,
}

impl CallHandle {
    /// Consumes the handle and lets the call run to its end.
    pub fn detach(self) {
        // An error means that the call has already ended.
        let _ = self.alive.try_send(());
    }
}

/// Starts HTTP calls without waiting for them.
pub trait Caller: Send + Sync {
    /// Starts a call. Returns the callback as the error if too many calls wait to be started.
    fn call(&self, call: Call, done: CallDone) -> Result<CallHandle, CallDone>;
}

/// Starts a call and blocks until it has ended.
pub fn call_and_wait(caller: &dyn Caller, call: Call) -> Result<WholeAnswer, CallError> {
    let (sender, receiver) = crossbeam::channel::bounded(1);
    let done = Box::new(move |result| {
        // The receiver below exists until the call has ended.
        let _ = sender.send(result);
    });
    let _handle = caller.call(call, done).map_err(|_| CallError::NotSent)?;
    receiver.recv().unwrap_or(Err(CallError::NotSent))
}

/// A call on its way to the client's thread.
struct Job {
    /// The call that is to be started.
    call: Call,
    /// Callback that receives the result.
    done: CallDone,
    /// Closed when the call's handle is dropped.
    alive: async_channel::Receiver<()>,
}

/// Starts calls on the client's thread. The thread ends when this is dropped.
pub struct HttpClient {
    /// Calls that wait to be started; the thread ends when this channel closes.
    jobs: async_channel::Sender<Job>,
}

/// Calls that may wait for the client's thread to start them.
const JOB_RING_COUNT: usize = 1024;

impl HttpClient {
    /// Starts the client's thread under a name, without a limit on the sum of its answers.
    pub fn start(name: &str) -> HttpClient {
        HttpClient::start_with_budget(name, MemoryBudget::unlimited())
    }

    /// Starts the client's thread under a name. Answers are charged to the budget as they arrive,
    /// and until they are dropped.
    pub fn start_with_budget(name: &str, budget: MemoryBudget) -> HttpClient {
        let (jobs, waiting) = async_channel::bounded(JOB_RING_COUNT);
        spawn_duty(name, move || {
            let executor = Rc::new(LocalExecutor::new());
            async_io::block_on(executor.run(serve(&executor, &waiting, budget)));
        });
        HttpClient { jobs }
    }
}

impl Caller for HttpClient {
    fn call(&self, call: Call, done: CallDone) -> Result<CallHandle, CallDone> {
        let (alive, watched) = async_channel::bounded(1);
        let job = Job {
            call,
            done,
            alive: watched,
        };
        match self.jobs.try_send(job) {
            Ok(()) => Ok(CallHandle { alive }),
            Err(refused) => Err(refused.into_inner().done),
        }
    }
}

/// Starts each call in a task of its own until the client is dropped.
async fn serve(
    executor: &Rc<LocalExecutor<'static>>,
    waiting: &async_channel::Receiver<Job>,
    budget: MemoryBudget,
) {
    let pool = Rc::new(Pool::new(Rc::downgrade(executor), budget));
    while let Ok(job) = waiting.recv().await {
        executor.spawn(run(pool.clone(), job)).detach();
    }
}

/// Runs a call and reports its result, once what an unfinished call held is released. A call whose
/// handle was dropped reports nothing.
async fn run(pool: Rc<Pool>, job: Job) {
    let Job { call, done, alive } = job;
    if let Some(result) = result_of(&pool, call, alive).await {
        done(result);
    }
}

/// Runs a call until it has ended or its deadline passes; returns `None` if its handle is dropped
/// before.
async fn result_of(
    pool: &Pool,
    call: Call,
    alive: async_channel::Receiver<()>,
) -> Option<Result<WholeAnswer, CallError>> {
    let deadline_at = call.deadline_at;
    let calling = std::pin::pin!(answer::call(pool, call));
    let timeout = std::pin::pin!(Timer::at(deadline_at));
    let abandoned = std::pin::pin!(dropped(alive));
    match select(calling, select(timeout, abandoned)).await {
        Either::Left((result, _)) => Some(result),
        Either::Right((Either::Left(_), _)) => Some(Err(CallError::Late)),
        Either::Right((Either::Right(_), _)) => None,
    }
}

/// Completes when the call's handle is dropped, and never if it was detached.
async fn dropped(alive: async_channel::Receiver<()>) {
    if alive.recv().await.is_ok() {
        std::future::pending::<()>().await;
    }
}

#[cfg(test)]
mod tests;
