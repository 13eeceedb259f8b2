//! The requests of organisations, as a Poisson stream each.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Site;
use crate::allowance::bucket::Bucket;
use crate::contract::RouteContract;
use crate::types::{OrganisationId, ServiceId};

/// One route that organisations use.
#[derive(Debug, Clone)]
pub struct TrafficRoute {
    /// Its service.
    pub service: ServiceId,
    /// Its contract.
    pub contract: RouteContract,
}

/// The stream of one organisation.
pub struct RequestStream {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its weight.
    pub weight_share: u32,
    /// Its contracted rate.
    pub rate_per_s: f64,
    /// What it sends, as a multiple of that rate.
    pub load_factor: f64,
    /// Its tokens over the whole fleet, kept exactly.
    pub tokens: Bucket,
}

/// The streams of all organisations.
pub struct Traffic {
    /// Routes that all organisations use evenly.
    pub routes: Vec<TrafficRoute>,
    /// One stream an organisation.
    pub streams: Vec<RequestStream>,
}

impl Traffic {
    /// Every organisation sends `load_factor` times its rate.
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

    /// Time until the next request of a stream.
    pub fn random_gap(&self, stream: usize, random: &mut ChaCha8Rng) -> Duration {
        let stream = &self.streams[stream];
        let rate_per_s = stream.rate_per_s * stream.load_factor;
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate_per_s)
    }
}
