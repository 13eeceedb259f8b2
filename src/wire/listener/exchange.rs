//! The daemon's side of a request: a body to be read by a thread, and one answer.

use std::io::Read;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use futures::channel::oneshot;
use futures::future::{select, Either};
use hyper::body::Bytes;

use crate::wire::exchange::{Exchange, WholeAnswer};

/// Bytes of a body, or why there are no more.
pub(super) type BodyPart = std::io::Result<Bytes>;

type LeftCallback = Box<dyn FnOnce() + Send>;

/// What becomes of a request's caller.
#[derive(Default)]
enum Caller {
    /// Waits, and nobody watches.
    #[default]
    Waiting,
    /// Waits, and this is to be called if it leaves.
    Watched(LeftCallback),
    /// Has its answer.
    Answered,
    /// Left before its answer.
    Left,
}

/// The connection's end of a watch. Dropping it before `answered` means that the caller left.
pub(super) struct LeaveWatch(Arc<Mutex<Caller>>);

impl LeaveWatch {
    /// Both ends of a watch.
    pub(super) fn new() -> (LeaveWatch, WatchedCaller) {
        let caller = Arc::new(Mutex::new(Caller::default()));
        (LeaveWatch(caller.clone()), WatchedCaller(caller))
    }

    /// The caller has its answer.
    pub(super) fn answered(self) {
        *self.0.lock().expect("no panic while locked") = Caller::Answered;
    }
}

impl Drop for LeaveWatch {
    fn drop(&mut self) {
        let mut caller = self.0.lock().expect("no panic while locked");
        let before = std::mem::replace(&mut *caller, Caller::Left);
        match before {
            Caller::Answered => *caller = Caller::Answered,
            Caller::Watched(left) => {
                drop(caller);
                left();
            }
            Caller::Waiting | Caller::Left => {}
        }
    }
}

/// The exchange's end of a watch.
pub(super) struct WatchedCaller(Arc<Mutex<Caller>>);

impl WatchedCaller {
    /// Calls `left` if the caller leaves, at once if it has left already.
    fn watch(&self, left: LeftCallback) {
        let mut caller = self.0.lock().expect("no panic while locked");
        match *caller {
            Caller::Left => {
                drop(caller);
                left();
            }
            Caller::Waiting | Caller::Watched(_) => *caller = Caller::Watched(left),
            Caller::Answered => {}
        }
    }
}

/// One request of a connection.
pub(super) struct ListenerExchange {
    body: BodyReader,
    answer: oneshot::Sender<WholeAnswer>,
    caller: WatchedCaller,
}

impl ListenerExchange {
    pub(super) fn new(
        parts: async_channel::Receiver<BodyPart>,
        answer: oneshot::Sender<WholeAnswer>,
        caller: WatchedCaller,
    ) -> ListenerExchange {
        let body = BodyReader {
            parts,
            current: Bytes::new(),
        };
        ListenerExchange {
            body,
            answer,
            caller,
        }
    }
}

impl Exchange for ListenerExchange {
    fn body(&mut self) -> &mut dyn Read {
        &mut self.body
    }

    fn watch(&mut self, left: LeftCallback) {
        self.caller.watch(left);
    }

    fn answer(self: Box<Self>, answer: WholeAnswer) {
        // A caller that left has nothing to be told.
        let _ = self.answer.send(answer);
    }
}

/// Reads a body part by part; waits for the caller.
struct BodyReader {
    parts: async_channel::Receiver<BodyPart>,
    current: Bytes,
}

impl BodyReader {
    /// The next part; none after the last. A caller that sends nothing for long is an error.
    fn next_part(&self) -> std::io::Result<Option<Bytes>> {
        match self.parts.try_recv() {
            Ok(part) => return part.map(Some),
            Err(async_channel::TryRecvError::Closed) => return Ok(None),
            Err(async_channel::TryRecvError::Empty) => {}
        }
        let part = std::pin::pin!(self.parts.recv());
        let stalled = std::pin::pin!(Timer::after(STALL_LIMIT));
        match async_io::block_on(select(part, stalled)) {
            Either::Left((Ok(part), _)) => part.map(Some),
            Either::Left((Err(_), _)) => Ok(None),
            Either::Right(_) => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
}

/// A caller that sends nothing of its body for this time has its upload given up.
const STALL_LIMIT: Duration = Duration::from_secs(10);

impl Read for BodyReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        while self.current.is_empty() {
            match self.next_part()? {
                Some(part) => self.current = part,
                None => return Ok(0),
            }
        }
        let count = buffer.len().min(self.current.len());
        buffer[..count].copy_from_slice(&self.current.split_to(count));
        Ok(count)
    }
}
