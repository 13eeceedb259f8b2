//! What the guard's thread does when an entry daemon closes its connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::cancel::cancel_call;
use super::duty::GuardDuty;
use super::message::{AttemptKey, GuardEvent, GuardMessage, ServerOutcome};
use crate::wire::client::CallError;
use crate::wire::exchange::{Exchange, WholeAnswer};

impl GuardDuty<'_> {
    /// Watches whether the entry daemon closes its connection.
    pub(super) fn watch_entry(&self, key: AttemptKey, exchange: &mut dyn Exchange) {
        let own = self.context.own_ring.clone();
        let metrics = self.context.metrics.clone();
        let left = self.left.clone();
        exchange.watch(Box::new(move || {
            metrics.count("guard.entry_left");
            left.add(key);
            // A full ring holds messages, and the reports are taken after each of them.
            let _ = own.offer(GuardMessage::EntriesLeft);
        }));
    }

    /// Ends a running request for which nobody waits. If the dialect has no way to cancel it, the
    /// connection is closed, but only for a request that may run more than once.
    pub(super) fn cancel_at_server(
        &mut self,
        key: AttemptKey,
        address: SocketAddr,
        repeatable: bool,
    ) {
        if let Some(path) = self.context.forward.dialect.cancel_path(key.0) {
            self.send_cancellation(address, path);
            return;
        }
        if !repeatable || !self.calls.contains_key(&key) {
            return;
        }
        self.context.metrics.count("guard.cancel.closed");
        self.handle_event(GuardEvent::Finished {
            key,
            outcome: ServerOutcome::Abandoned,
            elapsed: Duration::ZERO,
        });
    }
    /// Sends a cancellation to a server without waiting for its answer, which is only counted.
    fn send_cancellation(&self, address: SocketAddr, path: String) {
        let metrics = self.context.metrics.clone();
        let told = Box::new(move |result: Result<WholeAnswer, CallError>| {
            metrics.count(match result {
                Ok(_) => "guard.cancel.told",
                Err(_) => "guard.cancel.failed",
            });
        });
        match self
            .context
            .caller
            .call(cancel_call(address, path, Instant::now()), told)
        {
            Ok(call) => call.detach(),
            Err(_) => self.context.metrics.count("guard.cancel.dropped"),
        }
    }
}
