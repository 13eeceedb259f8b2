//! Keeps the list of eligible servers of each service up to date with the fleet and the view.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use imbl::ordmap::DiffItem;

use super::message::Target;
use crate::contract::View;
use crate::membership::{DaemonEntry, Fleet, ServerEntry};
use crate::rollout::{RolloutOrder, RolloutStep};
use crate::types::{DaemonId, DomainId, ServiceId};

/// One server that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Server and guard that its requests go to.
    pub target: Target,
    /// Failure domain of the server.
    pub domain: DomainId,
    /// Requests that its guard lets run at a time at present.
    pub slots_count: u32,
    /// Whether its guard treats the server as cold.
    pub cold: bool,
    /// Share of its full load that the server gets, in thousandths; never 0.
    pub share_permille: u16,
    /// Step of the roll-out in which its guard gives it work.
    pub rollout_step: RolloutStep,
}

/// The servers of one service among which an entry chooses.
#[derive(Debug, Default)]
pub struct ServiceCandidates {
    /// Eligible servers, without those under trial; those of the entry's own failure domain come
    /// first.
    pub all: Vec<Candidate>,
    /// Number of eligible servers in the entry's own failure domain.
    pub near_count: usize,
    /// All servers of the service in the fleet, eligible or not, without those that a roll-out
    /// keeps from the service.
    pub known_count: usize,
    /// Servers of a version under trial, of which each entry bounds the requests.
    pub trial: Vec<Candidate>,
}

/// The eligible servers of every service.
pub struct Candidates {
    /// Failure domain of this entry.
    own_domain: DomainId,
    /// The view in force, for floors and failure domains out of service.
    view: Arc<View>,
    /// The fleet that the lists were built from.
    fleet: Arc<Fleet>,
    /// Daemons that have servers of each service.
    daemons: HashMap<ServiceId, BTreeSet<DaemonId>>,
    /// The list of each service that has any server.
    services: HashMap<ServiceId, Arc<ServiceCandidates>>,
    /// Orders whose version was seen in full service and not closed since.
    passed: HashMap<ServiceId, Arc<RolloutOrder>>,
}

impl Candidates {
    /// Creates an empty list for an entry in `own_domain`.
    pub fn new(own_domain: DomainId) -> Candidates {
        Candidates {
            own_domain,
            view: Arc::default(),
            fleet: Arc::default(),
            daemons: HashMap::new(),
            services: HashMap::new(),
            passed: HashMap::new(),
        }
    }

    /// Returns the fleet that the lists were built from.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the servers of a service, or none if the fleet has none.
    pub fn of(&self, service: &ServiceId) -> Option<Arc<ServiceCandidates>> {
        self.services.get(service).cloned()
    }

    /// Returns how many servers of a service its contract requires to stay in service.
    pub fn floor_count(&self, service: &ServiceId) -> usize {
        let Some(candidates) = self.services.get(service) else {
            return 0;
        };
        let share = self
            .view
            .services
            .get(service)
            .map_or(0.0, |contract| contract.floor_share);
        (share * candidates.known_count as f64).ceil() as usize
    }

    /// Returns whether any route of a service takes requests that may run twice.
    pub fn has_repeatable(&self, service: &ServiceId) -> bool {
        let Some(contract) = self.view.services.get(service) else {
            return false;
        };
        contract.routes.iter().any(|route| route.repeatable)
    }

    /// Replaces the view. Rebuilds all lists if the failure domains out of service or the roll-outs
    /// have changed.
    pub fn update_view(&mut self, view: Arc<View>) {
        let same = view.domains_out == self.view.domains_out && view.rollouts == self.view.rollouts;
        self.view = view;
        if same {
            return;
        }
        let services: Vec<ServiceId> = self.daemons.keys().cloned().collect();
        for service in services {
            self.rebuild(&service);
        }
    }

    /// Replaces the fleet and returns the daemons that left it or began a new incarnation. Rebuilds
    /// only the services of daemons that changed.
    pub fn update_fleet(&mut self, fleet: Arc<Fleet>) -> Vec<DaemonId> {
        let before = std::mem::replace(&mut self.fleet, fleet.clone());
        let mut changed = BTreeSet::new();
        let mut renewed = Vec::new();
        for item in before.daemons.diff(&fleet.daemons) {
            match item {
                DiffItem::Add(_, new) => self.add(new, &mut changed),
                DiffItem::Remove(name, old) => {
                    renewed.push(name.clone());
                    self.remove(old, &mut changed);
                }
                DiffItem::Update {
                    old: (name, old),
                    new: (_, new),
                } => {
                    if old.incarnation != new.incarnation {
                        renewed.push(name.clone());
                    }
                    self.remove(old, &mut changed);
                    self.add(new, &mut changed);
                }
            }
        }
        for service in changed {
            self.rebuild(&service);
        }
        renewed
    }

    /// Adds a daemon to its services, and adds these to `changed`.
    fn add(&mut self, daemon: &DaemonEntry, changed: &mut BTreeSet<ServiceId>) {
        for server in &daemon.servers {
            let daemons = self.daemons.entry(server.service.clone()).or_default();
            daemons.insert(daemon.daemon.clone());
            changed.insert(server.service.clone());
        }
    }

    /// Removes a daemon from its services, and adds these to `changed`.
    fn remove(&mut self, daemon: &DaemonEntry, changed: &mut BTreeSet<ServiceId>) {
        for server in &daemon.servers {
            if let Some(daemons) = self.daemons.get_mut(&server.service) {
                daemons.remove(&daemon.daemon);
            }
            changed.insert(server.service.clone());
        }
    }

    /// Returns whether servers of the ordered version get nothing until their guards name a step: if
    /// the version was not seen in full service or was closed since, and servers of another version
    /// serve.
    fn holds_back_target(&mut self, service: &ServiceId) -> bool {
        let Some(order) = self.view.rollouts.get(service).cloned() else {
            self.passed.remove(service);
            return false;
        };
        let mut serves_other = false;
        let (mut full, mut closed) = (false, false);
        for name in self.daemons.get(service).into_iter().flatten() {
            let daemon = self.fleet.daemons.get(name);
            for server in daemon.into_iter().flat_map(|daemon| &daemon.servers) {
                let is_target = server.software_version == order.target_version;
                if server.service != *service {
                    continue;
                }
                full |= is_target && server.rollout_step == RolloutStep::Full;
                closed |= is_target && server.rollout_step == RolloutStep::Closed;
                serves_other |= !is_target && !server.draining && server.share_permille > 0;
            }
        }
        if full {
            self.passed.insert(service.clone(), order.clone());
        } else if closed {
            self.passed.remove(service);
        }
        serves_other && self.passed.get(service) != Some(&order)
    }

    /// Rebuilds the list of one service from the fleet and the view.
    fn rebuild(&mut self, service: &ServiceId) {
        let mut candidates = ServiceCandidates::default();
        let mut far = Vec::new();
        let holds_back = self.holds_back_target(service);
        let order = self.view.rollouts.get(service).cloned();
        let is_target = |server: &ServerEntry| {
            let order = order.as_ref();
            order.is_some_and(|order| order.target_version == server.software_version)
        };
        for name in self.daemons.get(service).into_iter().flatten() {
            let Some(daemon) = self.fleet.daemons.get(name) else {
                continue;
            };
            let closed = daemon.leaving || self.view.domains_out.contains(&daemon.domain);
            for server in &daemon.servers {
                if server.service != *service || server.rollout_step == RolloutStep::Closed {
                    continue;
                }
                let under_trial = server.rollout_step == RolloutStep::Trial;
                let held_back = holds_back && server.rollout_step.is_none() && is_target(server);
                candidates.known_count += usize::from(!under_trial && !held_back);
                if held_back || closed || server.draining || server.share_permille == 0 {
                    continue;
                }
                if under_trial {
                    // Without its order nothing bounds the requests of a version.
                    if is_target(server) {
                        candidates.trial.push(candidate(daemon, server));
                    }
                    continue;
                }
                let list = match daemon.domain == self.own_domain {
                    true => &mut candidates.all,
                    false => &mut far,
                };
                list.push(candidate(daemon, server));
            }
        }
        candidates.near_count = candidates.all.len();
        candidates.all.append(&mut far);
        if self.daemons.get(service).is_none_or(BTreeSet::is_empty) {
            self.services.remove(service);
            self.daemons.remove(service);
            return;
        }
        self.services.insert(service.clone(), Arc::new(candidates));
    }
}

/// Builds the candidate of one server.
fn candidate(daemon: &DaemonEntry, server: &ServerEntry) -> Candidate {
    Candidate {
        target: Target {
            daemon: daemon.daemon.clone(),
            guard_address: daemon.guard_address,
            server: server.server.clone(),
        },
        domain: daemon.domain.clone(),
        slots_count: server.slots_count,
        cold: server.cold,
        share_permille: server.share_permille,
        rollout_step: server.rollout_step,
    }
}
