//! Exchanges, clocks and connections for tests of several duties.

use std::io::Read;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime};

use crate::clock::Clock;
use crate::wire::exchange::{Exchange, RequestBody, WholeAnswer};

/// Clock that makes its readers wait while the lock is held.
#[derive(Default)]
pub(crate) struct PausedClock(pub(crate) Mutex<()>);

impl Clock for PausedClock {
    fn now(&self) -> Instant {
        drop(self.0.lock().expect("no panic while locked"));
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Callback that an exchange calls when its caller disconnects.
pub(crate) type DisconnectCallback = Arc<Mutex<Option<Box<dyn FnOnce() + Send>>>>;

/// An exchange whose caller disconnects when the test says so.
pub(crate) struct TestExchange {
    /// Whether the caller still waits.
    pub(crate) waits: bool,
    /// Callback for the disconnect.
    pub(crate) callback: DisconnectCallback,
}

impl Exchange for TestExchange {
    fn body(&self) -> RequestBody {
        RequestBody::Whole(Default::default())
    }

    fn caller_waits(&self) -> bool {
        self.waits
    }

    fn watch(&mut self, callback: Box<dyn FnOnce() + Send>) {
        *self.callback.lock().expect("no panic while locked") = Some(callback);
    }

    fn answer(self: Box<Self>, _: WholeAnswer) {}
}

/// Calls the callback for the disconnect of a caller.
pub(crate) fn disconnect(callback: &DisconnectCallback) {
    let callback = callback.lock().expect("no panic while locked").take();
    callback.expect("the thread watches the caller")();
}

/// Asserts that a connection ends.
pub(crate) fn assert_connection_ends(mut connection: TcpStream) {
    let mut rest = Vec::new();
    connection.read_to_end(&mut rest).expect("the end");
}
