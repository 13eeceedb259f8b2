//! Messages between the daemons of the world of the tests, and its store.

use std::time::Duration;

use super::super::{ConditionalWrite, RolloutAction, RolloutEvent, RolloutStatus, StatusPage};
use super::world::{StoreMode, World};
use crate::feed::FeedError;
use crate::types::{DaemonId, Offset};

/// Time of a message between daemons, or to the store.
const HOP: Duration = Duration::from_millis(10);

impl World {
    /// Passes an event to a daemon, and carries out what it does.
    pub fn handle(&mut self, daemon: &DaemonId, event: RolloutEvent) {
        let now = self.now;
        let machine = self.machines.get_mut(daemon).expect("a machine");
        let Some(state) = machine.state.as_mut() else {
            return;
        };
        for action in state.handle(now, event) {
            self.carry_out(daemon, action);
        }
    }

    fn send(&mut self, to: &DaemonId, event: RolloutEvent) {
        self.sent
            .push_back((self.now + HOP, to.clone(), Box::new(event)));
    }

    fn carry_out(&mut self, daemon: &DaemonId, action: RolloutAction) {
        let machine = self.machines.get_mut(daemon).expect("a machine");
        match action {
            RolloutAction::Apply(rule) => machine.rule = Some(rule),
            RolloutAction::End(_) => machine.rule = None,
            RolloutAction::Call { to, call } => {
                if machine.cut || self.machines.get(&to).is_none_or(|to| to.cut) {
                    return;
                }
                self.last_id += 1;
                let id = self.last_id;
                self.calls.insert(id, (daemon.clone(), to.clone()));
                self.send(&to, RolloutEvent::Called { id, call });
            }
            RolloutAction::Answer { id, report } => {
                let (caller, from) = self.calls.remove(&id).expect("a call");
                let service = "s".into();
                let event = RolloutEvent::CallEnded {
                    service,
                    from,
                    report,
                };
                self.send(&caller, event);
            }
            RolloutAction::Read(service) => {
                let status = self.log.last().cloned();
                let end = self.log.len() as Offset;
                let result = match self.store {
                    StoreMode::Up => Ok(StatusPage { status, end }),
                    _ => Err(FeedError::Unavailable(String::new())),
                };
                self.send(daemon, RolloutEvent::StatusRead { service, result });
            }
            RolloutAction::Write { status, end } => self.write(daemon, status, end),
            RolloutAction::Log(_) | RolloutAction::Count(_) => {}
        }
    }

    fn write(&mut self, daemon: &DaemonId, status: RolloutStatus, end: Offset) {
        let service = status.service.clone();
        let is_in_time = end == self.log.len() as Offset;
        if is_in_time && self.store != StoreMode::Down {
            self.log.push(status);
            self.last_writer = Some(daemon.clone());
        }
        let result = match (self.store, is_in_time) {
            (StoreMode::Up, true) => Ok(ConditionalWrite::Written),
            (StoreMode::Up, false) => Ok(ConditionalWrite::Changed),
            _ => Err(FeedError::Unavailable(String::new())),
        };
        self.send(daemon, RolloutEvent::StatusWritten { service, result });
    }
}
