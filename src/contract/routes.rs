//! Finds the route of a method and path without looking at every route.

use std::sync::Arc;

use imbl::HashMap;
use smallvec::SmallVec;

use super::message::{RouteContract, ServiceContract};
use crate::types::ServiceId;

/// Every route by its host and path prefix. A lookup costs one probe for each length of prefix in
/// use at the host that the path is long enough for.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    /// Routes of each host; those that take every host stand under the empty one.
    hosts: HashMap<Arc<str>, HostRoutes>,
}

/// The routes of one host.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    /// Routes at a prefix, in order of service and position.
    prefixes: HashMap<Arc<str>, Places>,
    /// How many routes have a prefix of this length; no entry is 0.
    lengths: std::collections::BTreeMap<usize, u32>,
}

type Places = SmallVec<[RoutePlace; 1]>;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RoutePlace {
    service: ServiceId,
    /// Index in the service's contract.
    index: u32,
}

/// What the view knows of a method and path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteLookup<'a> {
    /// The service and route.
    Found(&'a Arc<ServiceContract>, &'a RouteContract),
    /// The path is known with another method only.
    OtherMethod,
    /// No route.
    Unknown,
}

impl RouteIndex {
    fn add(&mut self, contract: &ServiceContract) {
        for (index, route) in contract.routes.iter().enumerate() {
            let place = RoutePlace {
                service: contract.service.clone(),
                index: index as u32,
            };
            let host: Arc<str> = host_name(&route.host).to_ascii_lowercase().into();
            let routes = self.hosts.entry(host).or_default();
            let prefix: Arc<str> = route.path_prefix.as_str().into();
            let places = routes.prefixes.entry(prefix).or_default();
            let position = places.binary_search(&place).unwrap_or_else(|free| free);
            places.insert(position, place);
            *routes.lengths.entry(route.path_prefix.len()).or_default() += 1;
        }
    }

    /// Adds every route of a contract after those of the one that it replaces are gone.
    pub fn add_in_place_of(
        &mut self,
        replaced: Option<&Arc<ServiceContract>>,
        contract: &ServiceContract,
    ) {
        if let Some(replaced) = replaced {
            self.remove(replaced);
        }
        self.add(contract);
    }

    fn remove(&mut self, contract: &ServiceContract) {
        for route in &contract.routes {
            let host = host_name(&route.host).to_ascii_lowercase();
            let Some(routes) = self.hosts.get_mut(host.as_str()) else {
                continue;
            };
            let prefix = route.path_prefix.as_str();
            if let Some(places) = routes.prefixes.get_mut(prefix) {
                places.retain(|place| place.service != contract.service);
                if places.is_empty() {
                    routes.prefixes.remove(prefix);
                }
            }
            let length = route.path_prefix.len();
            if let Some(count) = routes.lengths.get_mut(&length) {
                *count -= 1;
                if *count == 0 {
                    routes.lengths.remove(&length);
                }
            }
        }
    }

    /// The route with the longest prefix that takes host and method; of equals, the first
    /// service. Routes that name the host go before those that take every host.
    pub fn find<'a>(
        &self,
        services: &'a HashMap<ServiceId, Arc<ServiceContract>>,
        host: &str,
        method: &str,
        path: &str,
    ) -> RouteLookup<'a> {
        let host = host_name(host).to_ascii_lowercase();
        let mut answer = RouteLookup::Unknown;
        for name in [host.as_str(), ""] {
            let Some(routes) = self.hosts.get(name) else {
                continue;
            };
            match routes.find(services, method, path) {
                RouteLookup::Unknown => {}
                RouteLookup::OtherMethod => answer = RouteLookup::OtherMethod,
                found => return found,
            }
            if name.is_empty() {
                break;
            }
        }
        answer
    }
}

impl HostRoutes {
    fn find<'a>(
        &self,
        services: &'a HashMap<ServiceId, Arc<ServiceContract>>,
        method: &str,
        path: &str,
    ) -> RouteLookup<'a> {
        let mut answer = RouteLookup::Unknown;
        for length in self.lengths.range(..=path.len()).rev().map(|(at, _)| *at) {
            let Some(places) = path
                .get(..length)
                .and_then(|prefix| self.prefixes.get(prefix))
            else {
                continue;
            };
            for place in places {
                let Some(service) = services.get(&place.service) else {
                    continue;
                };
                let route = &service.routes[place.index as usize];
                if route.method.is_empty() || route.method == method {
                    return RouteLookup::Found(service, route);
                }
                answer = RouteLookup::OtherMethod;
            }
        }
        answer
    }
}

/// A host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
