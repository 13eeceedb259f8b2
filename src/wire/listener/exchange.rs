//! Implements `Exchange` for requests of the listener, and reports callers that disconnect.

use std::sync::{Arc, Mutex};

use futures::channel::oneshot;

use crate::wire::exchange::{Exchange, RequestBody, WholeAnswer};

/// Callback for a caller that disconnects before its answer.
type DisconnectCallback = Box<dyn FnOnce() + Send>;

/// State of the caller of one request.
#[derive(Default)]
enum CallerState {
    /// The caller waits, and no callback is set.
    #[default]
    Waiting,
    /// The caller waits, and the callback is to be called if it disconnects.
    Watched(DisconnectCallback),
    /// The answer is being sent.
    Answered,
    /// The caller disconnected before its answer.
    Disconnected,
}

/// The connection's handle to the state of a caller. Dropping it before `answered` reports that the
/// caller has disconnected.
pub(super) struct CallerHandle(Arc<Mutex<CallerState>>);

impl CallerHandle {
    /// Returns the connection's and the exchange's handles to the state of a new caller.
    pub(super) fn new() -> (CallerHandle, CallerWatch) {
        let caller = Arc::new(Mutex::new(CallerState::default()));
        (CallerHandle(caller.clone()), CallerWatch(caller))
    }

    /// Records that the caller gets its answer, so that its disconnection is no longer reported.
    pub(super) fn answered(self) {
        *self.0.lock().expect("no panic while locked") = CallerState::Answered;
    }
}

impl Drop for CallerHandle {
    fn drop(&mut self) {
        let mut caller = self.0.lock().expect("no panic while locked");
        let before = std::mem::replace(&mut *caller, CallerState::Disconnected);
        match before {
            CallerState::Answered => *caller = CallerState::Answered,
            CallerState::Watched(callback) => {
                drop(caller);
                callback();
            }
            CallerState::Waiting | CallerState::Disconnected => {}
        }
    }
}

/// The exchange's handle to the state of a caller.
pub(super) struct CallerWatch(Arc<Mutex<CallerState>>);

impl CallerWatch {
    /// Returns whether the caller has not disconnected.
    fn waits(&self) -> bool {
        let caller = self.0.lock().expect("no panic while locked");
        !matches!(*caller, CallerState::Disconnected)
    }

    /// Registers `left`, which is called if the caller disconnects. Calls it at once if the caller
    /// has disconnected already.
    fn watch(&self, left: DisconnectCallback) {
        let mut caller = self.0.lock().expect("no panic while locked");
        match *caller {
            CallerState::Disconnected => {
                drop(caller);
                left();
            }
            CallerState::Waiting | CallerState::Watched(_) => *caller = CallerState::Watched(left),
            CallerState::Answered => {}
        }
    }
}

/// A request of one connection that waits for its answer.
pub(super) struct ListenerExchange {
    /// Body of the request, whole or in parts.
    body: RequestBody,
    /// Sends the answer to the connection.
    answer: oneshot::Sender<WholeAnswer>,
    /// Reports when the caller disconnects.
    caller: CallerWatch,
}

impl ListenerExchange {
    /// Returns the exchange of a request that was read from a connection.
    pub(super) fn new(
        body: RequestBody,
        answer: oneshot::Sender<WholeAnswer>,
        caller: CallerWatch,
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

    fn caller_waits(&self) -> bool {
        self.caller.waits()
    }

    fn watch(&mut self, callback: DisconnectCallback) {
        self.caller.watch(callback);
    }

    fn answer(self: Box<Self>, answer: WholeAnswer) {
        // An error means that the caller has disconnected.
        let _ = self.answer.send(answer);
    }
}
