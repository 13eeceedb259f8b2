//! Tells entry daemons in each answer up to which offset this daemon has read the configuration.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::wire::exchange::{Exchange, RequestBody, WholeAnswer};
use crate::wire::forward::VIEW;

/// An exchange with an entry daemon whose answer gets the offset as a header.
pub(super) struct ViewReport {
    /// Exchange that takes the answer.
    pub(super) exchange: Box<dyn Exchange>,
    /// Offset up to which the configuration was read.
    pub(super) view: Arc<AtomicU64>,
}

impl Exchange for ViewReport {
    fn body(&self) -> RequestBody {
        self.exchange.body()
    }

    fn caller_waits(&self) -> bool {
        self.exchange.caller_waits()
    }

    fn watch(&mut self, on_disconnect: Box<dyn FnOnce() + Send>) {
        self.exchange.watch(on_disconnect);
    }

    fn answer(self: Box<Self>, mut answer: WholeAnswer) {
        let view = self.view.load(Ordering::Relaxed).to_string();
        answer.headers.push((VIEW.to_owned(), view));
        self.exchange.answer(answer);
    }
}
