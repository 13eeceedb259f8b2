//! How a request is taken back: by a fence of its entry, or because its caller left.

use std::time::Instant;

use super::message::{AttemptKey, GuardAction};
use super::state::GuardState;
use crate::error::ErrorKind;
use crate::link::{FenceAnswer, FenceRequest};
use crate::types::RequestId;

impl GuardState {
    pub(super) fn fence(
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

    pub(super) fn cancel(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Vec<GuardAction>,
    ) {
        for key in self.started.waiting(request) {
            self.remove_waiting(now, key, ErrorKind::Cancelled, actions);
        }
        for key in self.started.running(request) {
            actions.extend(self.cancel_running(key));
        }
    }

    /// Nobody waits for this one attempt any more.
    pub(super) fn left(&mut self, now: Instant, key: AttemptKey, actions: &mut Vec<GuardAction>) {
        if self.running.contains_key(&key) {
            actions.extend(self.cancel_running(key));
            return;
        }
        self.remove_waiting(now, key, ErrorKind::Cancelled, actions);
    }

    fn cancel_running(&self, key: AttemptKey) -> Option<GuardAction> {
        let running = self.running.get(&key)?;
        let server = self.servers.get(&running.server)?;
        Some(GuardAction::CancelServer {
            key,
            address: server.announcement.address,
            repeatable: running.repeatable,
        })
    }

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
