//! Finds the route of a host, method and path without comparing every route.

use std::sync::Arc;

use imbl::HashMap;
use smallvec::SmallVec;

use super::message::{RouteContract, ServiceContract};
use crate::types::ServiceId;

/// Every route by its host and path prefix. A lookup costs one probe for each prefix length that is
/// in use at the host and is no longer than the path.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    /// Routes of each host; those that match every host are kept under the empty one.
    hosts: HashMap<Arc<str>, HostRoutes>,
}

/// The routes of one host.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    /// Routes of each path prefix, in order of service and index.
    prefixes: HashMap<Arc<str>, RoutePositions>,
    /// How many routes have a prefix of each length; lengths without routes have no entry.
    lengths: std::collections::BTreeMap<usize, u32>,
}

/// The routes of one prefix; mostly a single one.
type RoutePositions = SmallVec<[RoutePosition; 1]>;

/// Where the contract of a route is found.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RoutePosition {
    /// The service whose contract has the route.
    service: ServiceId,
    /// Index of the route in that contract.
    index: u32,
}

/// Result of looking up a host, method and path in the view.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteLookup<'a> {
    /// A route matches; these are its service and its contract.
    Found(&'a Arc<ServiceContract>, &'a RouteContract),
    /// The path matches, but only with another method.
    OtherMethod,
    /// No route matches the host and path.
    Unknown,
}

impl RouteIndex {
    /// Adds every route of a contract.
    fn add(&mut self, contract: &ServiceContract) {
        for (index, route) in contract.routes.iter().enumerate() {
            let position = RoutePosition {
                service: contract.service.clone(),
                index: index as u32,
            };
            let host: Arc<str> = host_name(&route.host).to_ascii_lowercase().into();
            let routes = self.hosts.entry(host).or_default();
            let prefix: Arc<str> = route.path_prefix.as_str().into();
            let positions = routes.prefixes.entry(prefix).or_default();
            let slot = positions
                .binary_search(&position)
                .unwrap_or_else(|free| free);
            positions.insert(slot, position);
            *routes.lengths.entry(route.path_prefix.len()).or_default() += 1;
        }
    }

    /// Removes the routes of the replaced contract and adds those of the new one.
    pub fn replace(&mut self, replaced: Option<&Arc<ServiceContract>>, contract: &ServiceContract) {
        if let Some(replaced) = replaced {
            self.remove(replaced);
        }
        self.add(contract);
    }

    /// Removes every route of a contract.
    fn remove(&mut self, contract: &ServiceContract) {
        for route in &contract.routes {
            let host = host_name(&route.host).to_ascii_lowercase();
            let Some(routes) = self.hosts.get_mut(host.as_str()) else {
                continue;
            };
            let prefix = route.path_prefix.as_str();
            if let Some(positions) = routes.prefixes.get_mut(prefix) {
                positions.retain(|position| position.service != contract.service);
                if positions.is_empty() {
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

    /// Returns the route with the longest prefix that matches host and method; of equal ones, that
    /// of the first service. Routes that name the host go before those that match every host.
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
    /// Returns the route of this host with the longest prefix that matches the method.
    fn find<'a>(
        &self,
        services: &'a HashMap<ServiceId, Arc<ServiceContract>>,
        method: &str,
        path: &str,
    ) -> RouteLookup<'a> {
        let mut answer = RouteLookup::Unknown;
        for length in self.lengths.range(..=path.len()).rev().map(|(at, _)| *at) {
            let Some(positions) = path
                .get(..length)
                .and_then(|prefix| self.prefixes.get(prefix))
            else {
                continue;
            };
            for position in positions {
                let Some(service) = services.get(&position.service) else {
                    continue;
                };
                let route = &service.routes[position.index as usize];
                if route.method.is_empty() || route.method == method {
                    return RouteLookup::Found(service, route);
                }
                answer = RouteLookup::OtherMethod;
            }
        }
        answer
    }
}

/// Returns a host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
