//! The daemon's side of a request: its body, and one answer.

use std::sync::{Arc, Mutex};

use futures::channel::oneshot;

use crate::wire::exchange::{Exchange, RequestBody, WholeAnswer};

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
    body: RequestBody,
    answer: oneshot::Sender<WholeAnswer>,
    caller: WatchedCaller,
}

impl ListenerExchange {
    pub(super) fn new(
        body: RequestBody,
        answer: oneshot::Sender<WholeAnswer>,
        caller: WatchedCaller,
    ) -> ListenerExchange {
        ListenerExchange {
            body,
            answer,
            caller,
        }
    }
}

impl Exchange for ListenerExchange {
    fn body(&self) -> RequestBody {
        self.body.clone()
    }

    fn watch(&mut self, left: LeftCallback) {
        self.caller.watch(left);
    }

    fn answer(self: Box<Self>, answer: WholeAnswer) {
        // A caller that left has nothing to be told.
        let _ = self.answer.send(answer);
    }
}
