//! Requests of organisations, as one Poisson stream for each.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Site;
use crate::allowance::bucket::Bucket;
use crate::contract::RouteContract;
use crate::types::{OrganisationId, ServiceId};

/// A route that all organisations use.
#[derive(Debug, Clone)]
pub struct TrafficRoute {
    /// Service that the route belongs to.
    pub service: ServiceId,
    /// Contract of the route.
    pub contract: RouteContract,
}

/// Request stream of one organisation.
pub struct RequestStream {
    /// Organisation that sends the requests.
    pub organisation: OrganisationId,
    /// Weight of the organisation in weighted sharing.
    pub weight_share: u32,
    /// Contracted rate in requests per second.
    pub rate_per_s: f64,
    /// Load of the stream, as a multiple of the contracted rate.
    pub load_factor: f64,
    /// Token bucket of the organisation, kept exactly for the whole fleet.
    pub tokens: Bucket,
}

/// Routes and request streams of all organisations.
pub struct Traffic {
    /// Routes that every organisation uses with equal probability.
    pub routes: Vec<TrafficRoute>,
    /// Request streams, one for each organisation.
    pub streams: Vec<RequestStream>,
}

impl Traffic {
    /// Builds streams in which each organisation sends `load_factor` times its contracted rate.
    pub fn new(site: &Site, now: Instant, load_factor: f64) -> Traffic {
        let mut routes = Vec::new();
        for service in &site.deployment.services {
            for route in &service.contract.routes {
                routes.push(TrafficRoute {
                    service: service.contract.service.clone(),
                    contract: route.clone(),
                });
            }
        }
        let mut streams = Vec::new();
        for contract in &site.deployment.organisations {
            let burst_count = f64::from(contract.burst_count);
            streams.push(RequestStream {
                organisation: contract.organisation.clone(),
                weight_share: contract.weight_share,
                rate_per_s: contract.rate_per_s,
                load_factor,
                tokens: Bucket::full(now, contract.rate_per_s, burst_count),
            });
        }
        Traffic { routes, streams }
    }

    /// Draws the time until the next request of a stream.
    pub fn random_gap(&self, stream: usize, random: &mut ChaCha8Rng) -> Duration {
        let stream = &self.streams[stream];
        let rate_per_s = stream.rate_per_s * stream.load_factor;
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate_per_s)
    }
}
