//! Contracts and sizes of the two deployments of the demonstration.

use crate::contract::{OrganisationContract, RouteContract, ServiceContract};
use crate::load::LoadRequest;
use crate::types::{DomainId, OrganisationId};

use super::DeploymentName;

/// One service of a deployment.
#[derive(Debug, Clone)]
pub struct DemoService {
    /// Contract of the service with its routes.
    pub contract: ServiceContract,
    /// Number of backend servers that run the service.
    pub server_count: usize,
    /// Time that one request takes at a backend server, in milliseconds.
    pub work_ms: u64,
}

/// Failure domains, services and organisations of one deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Failure domains, over which the servers of each service are spread.
    pub domains: Vec<DomainId>,
    /// Services with their contracts and sizes.
    pub services: Vec<DemoService>,
    /// Contracts of the organisations that send requests.
    pub organisations: Vec<OrganisationContract>,
}

/// Part of a route's contract that differs between the routes.
struct RouteSpec {
    /// Name of the route, which is also its path prefix.
    route: &'static str,
    /// HTTP method of the requests.
    method: &'static str,
    /// Whether a request may run more than once.
    repeatable: bool,
    /// Longest request body that the route accepts.
    body_limit_bytes: u64,
}

/// Body limit of routes that write but take no uploads.
const SMALL_BODY_LIMIT_BYTES: u64 = 64 * 1024;
/// Body limit of routes that take uploads.
const UPLOAD_LIMIT_BYTES: u64 = 64 * 1024 * 1024;
/// Length of the uploads that the demonstration sends.
const DEMO_UPLOAD_BYTES: u64 = 256 * 1024;
/// Length of the other bodies that the demonstration sends.
const DEMO_ORDER_BYTES: u64 = 200;
/// Deadline of every route.
const DEADLINE_MS: u64 = 5_000;
/// Share of a service's servers that must stay in service.
const FLOOR_SHARE: f64 = 0.5;
/// Requests that each backend server runs at a time.
const SLOTS_COUNT: u32 = 5;

impl Deployment {
    /// Returns the deployment with this name.
    pub fn named(name: DeploymentName) -> Deployment {
        match name {
            DeploymentName::Nangolo => nangolo(),
            DeploymentName::Atlas => atlas(),
        }
    }

    /// Returns a mix in which every organisation uses every route.
    pub fn mix(&self) -> Vec<LoadRequest> {
        let mut mix = Vec::new();
        for organisation in &self.organisations {
            for service in &self.services {
                for route in &service.contract.routes {
                    mix.push(load_request(&organisation.organisation, service, route));
                }
            }
        }
        mix
    }
}

/// Returns the API key of an organisation in the demonstration.
pub fn organisation_key(organisation: &OrganisationId) -> String {
    format!("demo-key-of-{organisation}")
}

/// Returns the request of a mix by which an organisation uses a route.
fn load_request(
    organisation: &OrganisationId,
    service: &DemoService,
    route: &RouteContract,
) -> LoadRequest {
    let body_bytes = match route.method.as_str() {
        "GET" => 0,
        _ if route.body_limit_bytes > SMALL_BODY_LIMIT_BYTES => DEMO_UPLOAD_BYTES,
        _ => DEMO_ORDER_BYTES,
    };
    LoadRequest {
        organisation: organisation.clone(),
        service: service.contract.service.clone(),
        key: organisation_key(organisation),
        method: route.method.clone(),
        target: format!("{}/17", route.path_prefix),
        body_bytes,
        repeatable: route.repeatable,
    }
}

/// Returns the deployment `nangolo`: eight opticians and three services.
fn nangolo() -> Deployment {
    let sheets = [read_route("sheets")];
    let orders = [write_route("orders")];
    let scans = [upload_route("scans"), read_route("frames")];
    Deployment {
        domains: domain_ids("khomas"),
        services: vec![
            demo_service("fit-sheets", 6, 4, &sheets),
            demo_service("order-booking", 9, 8, &orders),
            demo_service("scans-and-status", 6, 6, &scans),
        ],
        organisations: organisation_contracts("optician", &["sheets", "orders", "scans", "frames"]),
    }
}

/// Returns the deployment `atlas`: eight tenants and three services.
fn atlas() -> Deployment {
    let catalogue = [read_route("catalogue"), read_route("availability")];
    let bookings = [write_route("bookings"), write_route("deposits")];
    let fleet = [upload_route("photos"), read_route("tables")];
    let routes = [
        "catalogue",
        "availability",
        "bookings",
        "deposits",
        "photos",
        "tables",
    ];
    Deployment {
        domains: domain_ids("casablanca"),
        services: vec![
            demo_service("catalogue", 9, 6, &catalogue),
            demo_service("bookings-and-deposits", 12, 8, &bookings),
            demo_service("fleet-and-condition", 6, 6, &fleet),
        ],
        organisations: organisation_contracts("tenant", &routes),
    }
}

/// Returns a `GET` route, whose requests are repeatable and carry no body.
fn read_route(route: &'static str) -> RouteSpec {
    RouteSpec {
        route,
        method: "GET",
        repeatable: true,
        body_limit_bytes: 0,
    }
}

/// Returns a `POST` route with small bodies, whose requests must not be repeated.
fn write_route(route: &'static str) -> RouteSpec {
    RouteSpec {
        route,
        method: "POST",
        repeatable: false,
        body_limit_bytes: SMALL_BODY_LIMIT_BYTES,
    }
}

/// Returns a `POST` route with large bodies, whose requests are repeatable.
fn upload_route(route: &'static str) -> RouteSpec {
    RouteSpec {
        route,
        method: "POST",
        repeatable: true,
        body_limit_bytes: UPLOAD_LIMIT_BYTES,
    }
}

/// Returns the ids of three failure domains at a place.
fn domain_ids(place: &str) -> Vec<DomainId> {
    (1..=3)
        .map(|number| format!("{place}-{number}").into())
        .collect()
}

/// Returns a service with these routes, its number of servers and their work per request.
fn demo_service(
    name: &str,
    server_count: usize,
    work_ms: u64,
    routes: &[RouteSpec],
) -> DemoService {
    let routes = routes.iter().map(|spec| RouteContract {
        route: spec.route.into(),
        method: spec.method.to_owned(),
        path_prefix: format!("/{}", spec.route),
        repeatable: spec.repeatable,
        deadline_ms: DEADLINE_MS,
        body_limit_bytes: spec.body_limit_bytes,
        ..Default::default()
    });
    let contract = ServiceContract {
        service: name.into(),
        floor_share: FLOOR_SHARE,
        slots_count: SLOTS_COUNT,
        routes: routes.collect(),
        ..Default::default()
    };
    DemoService {
        contract,
        server_count,
        work_ms,
    }
}

/// Returns the contracts of eight organisations, two of them large.
fn organisation_contracts(name: &str, routes: &[&str]) -> Vec<OrganisationContract> {
    let contract = |number: u32| {
        let large = number <= LARGE_ORGANISATION_COUNT;
        OrganisationContract {
            organisation: format!("{name}-{number}").into(),
            rate_per_s: if large { 400.0 } else { 100.0 },
            burst_count: if large { 800 } else { 200 },
            weight_share: if large { 4 } else { 1 },
            routes: routes.iter().map(|route| (*route).into()).collect(),
            ..Default::default()
        }
    };
    (1..=ORGANISATION_COUNT).map(contract).collect()
}

/// Number of organisations in each deployment.
const ORGANISATION_COUNT: u32 = 8;
/// Number of organisations in each deployment with a higher rate, burst and weight.
const LARGE_ORGANISATION_COUNT: u32 = 2;
