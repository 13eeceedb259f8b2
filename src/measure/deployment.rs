//! The two deployments of the demonstration, adapted to the simulation.

use std::sync::Arc;
use std::time::Duration;

use crate::contract::{Change, Record, View};
use crate::demo::deployment::Deployment;
use crate::demo::DeploymentName;
use crate::types::{DomainId, OperationId};

/// Factor on the demonstration's request times, so that its rates load the servers.
const WORK_FACTOR: u64 = 6;

/// Deadline of requests that a person waits for, in milliseconds.
const PROMPT_DEADLINE_MS: u64 = 1_000;

/// One deployment with the request times, deadlines and client delay of the simulation.
pub struct Site {
    /// Failure domains, services and organisations of the deployment.
    pub deployment: Deployment,
    /// One-way delay between clients and daemons.
    pub client_delay: Duration,
}

impl Site {
    /// Builds the site of the deployment with this name.
    pub fn named(name: DeploymentName) -> Site {
        let mut deployment = Deployment::named(name);
        for service in &mut deployment.services {
            service.work_ms *= WORK_FACTOR;
            for route in &mut service.contract.routes {
                route.foreground = route.method == "GET";
                if route.foreground {
                    route.deadline_ms = PROMPT_DEADLINE_MS;
                }
            }
        }
        let client_delay = match name {
            DeploymentName::Nangolo => Duration::from_millis(3),
            DeploymentName::Atlas => Duration::from_millis(1),
        };
        Site {
            deployment,
            client_delay,
        }
    }

    /// Returns the view of all contracts, with at most one failure domain out of service.
    pub fn view(&self, domain_out: Option<&DomainId>) -> Arc<View> {
        let mut view = View::default();
        let mut changes = Vec::new();
        for service in &self.deployment.services {
            let contract = service.contract.clone();
            changes.push(Change::PublishService { contract });
        }
        for contract in &self.deployment.organisations {
            let contract = contract.clone();
            changes.push(Change::PublishOrganisation { contract });
        }
        if let Some(domain) = domain_out {
            changes.push(Change::DomainOut {
                domain: domain.clone(),
                override_floor: true,
            });
        }
        for (offset, change) in changes.into_iter().enumerate() {
            let record = Record {
                operation: offset as OperationId + 1,
                base: None,
                author: "measure".to_owned(),
                at_ms: 0,
                change,
            };
            view.apply(offset as u64, &record);
        }
        Arc::new(view)
    }
}
