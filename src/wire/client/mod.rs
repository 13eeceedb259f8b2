//! Calls to servers and daemons over HTTP: one thread owns all connections and keeps idle ones.
//!
//! A call is handed over with a callback and gives a handle; dropping the handle ends the call and
//! closes its connection, which tells the receiver that nobody waits any more.

mod answer;
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
use crate::ring::spawn_duty;
use pool::Pool;

/// A call to be made.
pub struct Call {
    /// Where to.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Value of the `Host` header; the address where there is none.
    pub host: Option<String>,
    /// Headers, without those of the connection.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: OutgoingBody,
    /// Longest wait for the connection.
    pub connect_timeout: Duration,
    /// When the whole answer must be there.
    pub deadline_at: Instant,
    /// Most bytes of the answer's body.
    pub answer_limit_bytes: usize,
    /// A kept connection is used if it was idle for no longer than this.
    pub reuse_idle: Duration,
    /// Whether the address is tried once more after the connection broke, to tell a server that
    /// died from one that cut a single connection.
    pub reconnect_check: bool,
    /// Tells the call's own answer from others; none where any answer is taken for it.
    pub check: Option<Box<dyn AnswerCheck>>,
}

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[error("no connection")]
    NotSent,
    /// The call can't be written as HTTP.
    #[error("the call can't be written as HTTP")]
    Unwritable,
    /// The body's source ended early; the receiver has no whole request.
    #[error("the body ended early")]
    ShortBody,
    /// No whole answer before the deadline.
    #[error("no answer before the deadline")]
    Late,
    /// The connection broke after the request was sent.
    #[error("the connection broke")]
    Broken,
    /// The connection broke, and the receiver takes no new one.
    #[error("the connection broke and no new one is taken")]
    Died,
    /// The answer was shorter than its length, malformed, or of another call.
    #[error("the answer was incomplete")]
    ShortAnswer,
    /// The answer is over the limit.
    #[error("the answer is over its limit")]
    AnswerTooLarge,
}

/// Takes the end of a call, on the client's thread. It is not called for a call whose handle was
/// dropped before.
pub type CallDone = Box<dyn FnOnce(Result<WholeAnswer, CallError>) + Send>;

/// Dropping it ends the call and closes its connection.
pub struct CallHandle {
    alive: async_channel::Sender<()>,
}

impl CallHandle {
    /// Lets the call run to its end without the handle.
    pub fn detach(self) {
        // A call that has ended has closed the channel.
        let _ = self.alive.try_send(());
    }
}

/// Makes calls.
pub trait Caller: Send + Sync {
    /// Starts a call. Gives the callback back if too many calls wait to be started.
    fn call(&self, call: Call, done: CallDone) -> Result<CallHandle, CallDone>;
}

/// Makes a call and waits for its end.
pub fn call_and_wait(caller: &dyn Caller, call: Call) -> Result<WholeAnswer, CallError> {
    let (sender, receiver) = crossbeam::channel::bounded(1);
    let done = Box::new(move |result| {
        // The one who waits is there until the call ends.
        let _ = sender.send(result);
    });
    let _handle = caller.call(call, done).map_err(|_| CallError::NotSent)?;
    receiver.recv().unwrap_or(Err(CallError::NotSent))
}

struct Job {
    call: Call,
    done: CallDone,
    alive: async_channel::Receiver<()>,
}

/// The client's thread, seen from the others.
pub struct HttpClient {
    jobs: async_channel::Sender<Job>,
}

/// Calls that may wait to be started.
const JOB_RING_COUNT: usize = 1024;

impl HttpClient {
    /// Starts the thread; it ends when the client is dropped.
    pub fn start(name: &str) -> HttpClient {
        let (jobs, waiting) = async_channel::bounded(JOB_RING_COUNT);
        spawn_duty(name, move || {
            let executor = Rc::new(LocalExecutor::new());
            async_io::block_on(executor.run(serve(&executor, &waiting)));
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

async fn serve(executor: &Rc<LocalExecutor<'static>>, waiting: &async_channel::Receiver<Job>) {
    let pool = Rc::new(Pool::new(Rc::downgrade(executor)));
    while let Ok(job) = waiting.recv().await {
        executor.spawn(run(pool.clone(), job)).detach();
    }
}

async fn run(pool: Rc<Pool>, job: Job) {
    let Job { call, done, alive } = job;
    let deadline_at = call.deadline_at;
    let working = std::pin::pin!(answer::call(&pool, call));
    let late = std::pin::pin!(Timer::at(deadline_at));
    let ended = std::pin::pin!(dropped(alive));
    let result = match select(working, select(late, ended)).await {
        Either::Left((result, _)) => result,
        Either::Right((Either::Left(_), _)) => Err(CallError::Late),
        Either::Right((Either::Right(_), _)) => return,
    };
    done(result);
}

/// Ends when the handle is dropped, and never for one that was detached.
async fn dropped(alive: async_channel::Receiver<()>) {
    if alive.recv().await.is_ok() {
        std::future::pending::<()>().await;
    }
}

#[cfg(test)]
mod tests;
