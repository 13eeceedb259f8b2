//! The policies that are measured against each other.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::round_robin::RoundRobin;
use crate::routing::choice::ServerChoice;
use crate::routing::least_loaded::LeastLoaded;
use crate::settings::health::{DetectorName, HealthSettings};
use crate::settings::routing::RoutingSettings;
use crate::types::DomainId;

/// One way of running the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Its name in tables.
    pub name: &'static str,
    /// Whether servers are taken in turn.
    pub round_robin: bool,
    /// Detection; none without ejection.
    pub health: Option<HealthSettings>,
    /// Routing.
    pub routing: RoutingSettings,
}

impl Policy {
    /// Servers in turn, no ejection.
    pub fn round_robin() -> Policy {
        Policy {
            name: "round robin, no ejection",
            round_robin: true,
            health: None,
            routing: RoutingSettings::default(),
        }
    }

    /// The choice of the project with fixed thresholds.
    pub fn fixed() -> Policy {
        let health = HealthSettings {
            detector: DetectorName::Fixed,
            ..Default::default()
        };
        Policy {
            name: "fixed thresholds",
            round_robin: false,
            health: Some(health),
            routing: RoutingSettings::default(),
        }
    }

    /// What `serve` runs by default.
    pub fn standard() -> Policy {
        Policy {
            name: "sequential test",
            round_robin: false,
            health: Some(HealthSettings::default()),
            routing: RoutingSettings::default(),
        }
    }

    /// The two baselines and the standard.
    pub fn all() -> Vec<Policy> {
        vec![Policy::round_robin(), Policy::fixed(), Policy::standard()]
    }

    pub(super) fn server_choice(
        &self,
        domain: DomainId,
        index: usize,
        seed: u64,
    ) -> Box<dyn ServerChoice> {
        if self.round_robin {
            return Box::new(RoundRobin::new(domain, index));
        }
        let random = ChaCha8Rng::seed_from_u64(seed);
        Box::new(LeastLoaded::new(self.routing.clone(), domain, random))
    }
}
