//! Tells entry daemons in each answer up to where this daemon has read the configuration.

use std::sync::Arc;

use crate::feed::SharedPosition;
use crate::wire::exchange::{Exchange, RequestBody, WholeAnswer};
use crate::wire::forward::VIEW;

/// An exchange with an entry daemon whose answer gets the position as a header.
pub(super) struct ViewReport {
    /// Exchange that takes the answer.
    pub(super) exchange: Box<dyn Exchange>,
    /// Position up to which the configuration was read.
    pub(super) view: Arc<SharedPosition>,
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
        let view = self.view.get().to_string();
        answer.headers.push((VIEW.to_owned(), view));
        self.exchange.answer(answer);
    }
}
