//! Chooses the peers whose summaries are requested next.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::membership::Fleet;
use crate::types::{DaemonId, ServiceId};

/// The other daemons with servers of each local service, asked in turn.
pub struct PeerRotation {
    /// This daemon, which is never asked.
    own: DaemonId,
    fleet: Arc<Fleet>,
    /// Daemons by service, only for services of servers on this VM.
    daemons: BTreeMap<ServiceId, Vec<DaemonId>>,
    /// Index of the daemon that is asked first in the next round, by service.
    turns: BTreeMap<ServiceId, usize>,
    /// Index of the service that is asked about first in the next round.
    service_turn: usize,
}

impl PeerRotation {
    /// Creates a rotation without peers.
    pub fn new(own: DaemonId) -> PeerRotation {
        PeerRotation {
            own,
            fleet: Arc::default(),
            daemons: BTreeMap::new(),
            turns: BTreeMap::new(),
            service_turn: 0,
        }
    }

    /// Replaces the snapshot of the fleet.
    pub fn set_fleet(&mut self, fleet: Arc<Fleet>) {
        self.fleet = fleet;
        self.rebuild();
    }

    /// Replaces the set of services of the servers on this VM.
    pub fn set_services(&mut self, services: BTreeSet<ServiceId>) {
        if self.daemons.keys().eq(services.iter()) {
            return;
        }
        self.daemons = services
            .into_iter()
            .map(|service| (service, Vec::new()))
            .collect();
        self.rebuild();
    }

    /// Rebuilds the lists of daemons from the fleet.
    fn rebuild(&mut self) {
        for list in self.daemons.values_mut() {
            list.clear();
        }
        for daemon in self.fleet.daemons.values() {
            if daemon.daemon == self.own || daemon.leaving {
                continue;
            }
            for server in &daemon.servers {
                let Some(list) = self.daemons.get_mut(&server.service) else {
                    continue;
                };
                if list.last() != Some(&daemon.daemon) {
                    list.push(daemon.daemon.clone());
                }
            }
        }
    }

    /// Returns the next peers of one service, at most `limit_count`.
    pub fn next_peers(
        &mut self,
        service: &ServiceId,
        limit_count: usize,
    ) -> Vec<(DaemonId, ServiceId)> {
        let Some(list) = self.daemons.get(service).filter(|list| !list.is_empty()) else {
            return Vec::new();
        };
        let turn = self.turns.entry(service.clone()).or_default();
        let count = limit_count.min(list.len());
        let mut asked = Vec::new();
        for step in 0..count {
            let daemon = &list[(*turn + step) % list.len()];
            asked.push((daemon.clone(), service.clone()));
        }
        *turn = (*turn + count) % list.len();
        asked
    }

    /// Returns the next peers of several services, in total at most `limit_count`.
    pub fn next_peers_of(
        &mut self,
        services: &[ServiceId],
        limit_count: usize,
    ) -> Vec<(DaemonId, ServiceId)> {
        if services.is_empty() {
            return Vec::new();
        }
        let each = (limit_count / services.len()).max(1);
        let mut asked = Vec::new();
        for step in 0..services.len().min(limit_count) {
            let service = &services[(self.service_turn + step) % services.len()];
            asked.extend(self.next_peers(service, each));
        }
        self.service_turn = (self.service_turn + limit_count) % services.len();
        asked
    }
}
