//! Policies of server choice and ejection that are compared with each other.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::round_robin::RoundRobin;
use crate::routing::choice::ServerChoice;
use crate::routing::least_loaded::LeastLoaded;
use crate::settings::guard::GuardSettings;
use crate::settings::health::{DetectorName, HealthSettings};
use crate::settings::routing::RoutingSettings;
use crate::types::DomainId;

/// One combination of a server choice and a detection of failing servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Name of the policy in tables.
    pub name: &'static str,
    /// Whether entries choose servers round robin, without regard to load or failures.
    pub round_robin: bool,
    /// Settings of the detection; none if the policy never ejects a server.
    pub health: Option<HealthSettings>,
    /// Settings of the routing duty.
    pub routing: RoutingSettings,
    /// Settings of the guards.
    pub guard: GuardSettings,
}

impl Policy {
    /// Returns the baseline that chooses servers round robin and ejects none.
    pub fn round_robin() -> Policy {
        Policy {
            name: "round robin, no ejection",
            round_robin: true,
            health: None,
            routing: RoutingSettings::default(),
            guard: GuardSettings::default(),
        }
    }

    /// Returns the baseline with the standard server choice and fixed ejection thresholds.
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
            guard: GuardSettings::default(),
        }
    }

    /// Returns the policy that `serve` runs by default.
    pub fn standard() -> Policy {
        Policy {
            name: "sequential test",
            round_robin: false,
            health: Some(HealthSettings::default()),
            routing: RoutingSettings::default(),
            guard: GuardSettings::default(),
        }
    }

    /// Returns the two baselines and the standard policy.
    pub fn all() -> Vec<Policy> {
        vec![Policy::round_robin(), Policy::fixed(), Policy::standard()]
    }

    /// Builds the server choice of the node with this index.
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
