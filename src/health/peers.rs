//! Which peers to ask next for their summaries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::membership::Fleet;
use crate::types::{DaemonId, ServiceId};

/// The other daemons with servers of each service, asked in turn.
pub struct PeerRotation {
    own: DaemonId,
    fleet: Arc<Fleet>,
    /// Only services of servers beside this daemon.
    daemons: BTreeMap<ServiceId, Vec<DaemonId>>,
    /// Turn of each service; where it stands is where the next round begins.
    turns: BTreeMap<ServiceId, usize>,
    service_turn: usize,
}

impl PeerRotation {
    /// No peers yet.
    pub fn new(own: DaemonId) -> PeerRotation {
        PeerRotation {
            own,
            fleet: Arc::default(),
            daemons: BTreeMap::new(),
            turns: BTreeMap::new(),
            service_turn: 0,
        }
    }

    /// Takes a new fleet.
    pub fn set_fleet(&mut self, fleet: Arc<Fleet>) {
        self.fleet = fleet;
        self.rebuild();
    }

    /// Takes the services of the servers beside this daemon.
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

    /// The next peers of one service.
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

    /// The next peers of several services, all together within the limit.
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
