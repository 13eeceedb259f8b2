//! Decisions of membership: which description of a daemon is the newest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::message::{
    DaemonEntry, Fleet, MembershipAction, MembershipEvent, ServerEntry, FULL_SHARE_PERMILLE,
};
use crate::types::BackendServerId;

/// State of membership.
pub struct MembershipState {
    /// This daemon, as it describes itself.
    own: DaemonEntry,
    fleet: Fleet,
    /// Shares that health set for the servers beside this daemon; the others serve in full.
    shares: BTreeMap<BackendServerId, u16>,
}

impl MembershipState {
    /// Membership of a daemon that knows only itself.
    pub fn new(own: DaemonEntry) -> MembershipState {
        MembershipState {
            own,
            fleet: Fleet::default(),
            shares: BTreeMap::new(),
        }
    }

    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, _now: Instant, event: MembershipEvent) -> Vec<MembershipAction> {
        match event {
            MembershipEvent::Local(servers) => self.local(servers),
            MembershipEvent::Share {
                server,
                share_permille,
            } => {
                self.shares.insert(server, share_permille);
                self.local(self.own.servers.clone())
            }
            MembershipEvent::Leave => {
                self.own.leaving = true;
                self.publish()
            }
            MembershipEvent::Heard(entry) => self.heard(entry),
            MembershipEvent::Stop => Vec::new(),
        }
    }

    fn local(&mut self, mut servers: Vec<ServerEntry>) -> Vec<MembershipAction> {
        self.shares
            .retain(|name, _| servers.iter().any(|server| server.server == *name));
        for server in &mut servers {
            let share_permille = self.shares.get(&server.server).copied();
            server.share_permille = share_permille.unwrap_or(FULL_SHARE_PERMILLE);
        }
        if servers == self.own.servers {
            return Vec::new();
        }
        self.own.servers = servers;
        self.publish()
    }

    fn publish(&mut self) -> Vec<MembershipAction> {
        self.own.version += 1;
        let own = self.own.clone();
        self.fleet
            .daemons
            .insert(own.daemon.clone(), Arc::new(own.clone()));
        vec![MembershipAction::Publish(own), self.changed()]
    }

    fn heard(&mut self, entry: DaemonEntry) -> Vec<MembershipAction> {
        if entry.daemon == self.own.daemon {
            return Vec::new();
        }
        if let Some(known) = self.fleet.daemons.get(&entry.daemon) {
            if (known.incarnation, known.version) >= (entry.incarnation, entry.version) {
                return Vec::new();
            }
        }
        self.fleet
            .daemons
            .insert(entry.daemon.clone(), Arc::new(entry));
        vec![self.changed()]
    }

    fn changed(&self) -> MembershipAction {
        MembershipAction::Changed(Arc::new(self.fleet.clone()))
    }
}
