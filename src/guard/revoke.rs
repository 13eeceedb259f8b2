//! Revokes requests: by a fence from the entry daemon, or because the caller or the entry daemon
//! disconnected.

use std::time::Instant;

use super::message::{AttemptKey, GuardAction};
use super::state::GuardState;
use crate::error::ErrorKind;
use crate::link::{FenceAnswer, FenceRequest};
use crate::types::RequestId;

impl GuardState {
    /// Keeps fenced attempts from starting, and answers what became of them.
    pub(super) fn handle_fence(
        &mut self,
        now: Instant,
        fence: &FenceRequest,
        actions: &mut Vec<GuardAction>,
    ) {
        if !self.own_incarnations.contains(fence.incarnation) {
            return actions.push(GuardAction::FenceAnswered(FenceAnswer::Unknown));
        }
        let answer = self.started.fence(now, fence.request, fence.attempt);
        for key in self.started.waiting(fence.request) {
            if key.1 <= fence.attempt {
                self.remove_waiting(now, key, ErrorKind::Fenced, actions);
            }
        }
        actions.push(GuardAction::FenceAnswered(answer));
    }

    /// Ends all attempts at a request whose caller left.
    pub(super) fn handle_cancel(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Vec<GuardAction>,
    ) {
        for key in self.started.waiting(request) {
            self.remove_waiting(now, key, ErrorKind::Cancelled, actions);
        }
        for key in self.started.running(request) {
            actions.extend(self.cancel_action(key));
        }
    }

    /// Ends one attempt for which nobody waits any more.
    pub(super) fn handle_entry_left(
        &mut self,
        now: Instant,
        key: AttemptKey,
        actions: &mut Vec<GuardAction>,
    ) {
        if self.running.contains_key(&key) {
            actions.extend(self.cancel_action(key));
            return;
        }
        self.remove_waiting(now, key, ErrorKind::Cancelled, actions);
    }

    /// Returns the action that cancels a running attempt at its server.
    fn cancel_action(&self, key: AttemptKey) -> Option<GuardAction> {
        let running = self.running.get(&key)?;
        let server = self.servers.get(&running.server)?;
        Some(GuardAction::CancelServer {
            key,
            address: server.announcement.address,
            repeatable: running.repeatable,
        })
    }

    /// Removes a waiting attempt from its queue and refuses it.
    pub(super) fn remove_waiting(
        &mut self,
        now: Instant,
        key: AttemptKey,
        kind: ErrorKind,
        actions: &mut Vec<GuardAction>,
    ) {
        for server in self.servers.values_mut() {
            if server.queue.remove(key).is_some() {
                return self.refuse(now, key, kind, None, actions);
            }
        }
    }
}
