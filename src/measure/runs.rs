//! Simulation runs behind the tables: one seed of one case each.

use std::time::Duration;

use super::policy::Policy;
use super::server::{Fault, Noise};
use super::simulation::{Simulation, SimulationOptions};
use crate::demo::DeploymentName;
use crate::health::HealthVerdict;

/// Time before each measurement, in which servers warm up and daemons learn typical times.
const WARM_UP_TIME: Duration = Duration::from_secs(8);

/// Time for which a failing server is observed.
const GRAY_FAILURE_TIME: Duration = Duration::from_secs(10);

/// Time for which noisy healthy servers are observed.
const FALSE_EJECTION_TIME: Duration = Duration::from_secs(60);

/// Time for which an organisation exceeds its rate.
const SURGE_TIME: Duration = Duration::from_secs(15);

/// Length of each phase: before, during and after the domain is out of service.
const DOMAIN_PHASE_TIME: Duration = Duration::from_secs(8);

/// Load of ordinary runs, as a multiple of each organisation's contracted rate.
const TYPICAL_LOAD: f64 = 0.6;
/// Load of the other organisations while one exceeds its rate.
const SURGE_LOAD: f64 = 0.9;
/// Load of runs in which a failure domain leaves and returns.
const DOMAIN_LOAD: f64 = 0.5;

/// Load of the surging organisation, as a multiple of its contracted rate.
const SURGE_LOAD_FACTOR: f64 = 5.0;

/// An ejection is in time within the later of this count of requests and `DETECTION_TIME`.
const DETECTION_REQUEST_COUNT: u64 = 20;
/// An ejection is in time within the later of this time and `DETECTION_REQUEST_COUNT` requests.
const DETECTION_TIME: Duration = Duration::from_secs(1);

/// Noise of servers that never fail, slow down or pause by themselves.
const NO_NOISE: Noise = Noise {
    failed_share: 0.0,
    slow_share: 0.0,
    pause_interval: None,
    pause_limit: Duration::ZERO,
    blip_interval: None,
    blip_limit: Duration::ZERO,
};

/// One case of a single failing server.
#[derive(Debug, Clone)]
pub struct GrayCase {
    /// Name of the case in tables.
    pub name: &'static str,
    /// Fault of the server; none for the failure of one route, whose name differs by deployment.
    pub fault: Option<Fault>,
}

/// Returns all cases of a single failing server, in the order of the table.
pub fn gray_cases() -> Vec<GrayCase> {
    let case = |name, fault| GrayCase { name, fault };
    let period = Duration::from_secs(2);
    vec![
        case("all fail", Some(Fault::Errors { share: 1.0 })),
        case("half fail", Some(Fault::Errors { share: 0.5 })),
        case("10% fail", Some(Fault::Errors { share: 0.1 })),
        case("one route fails", None),
        case(
            "20% 8 times slower",
            Some(Fault::SlowTail {
                share: 0.2,
                factor: 8.0,
            }),
        ),
        case(
            "all 3 times slower",
            Some(Fault::SlowTail {
                share: 1.0,
                factor: 3.0,
            }),
        ),
        case("20% stuck", Some(Fault::Stuck { share: 0.2 })),
        case("silent", Some(Fault::Silent)),
        case(
            "30% short answers",
            Some(Fault::ShortAnswers { share: 0.3 }),
        ),
        case("flaps every 2 s", Some(Fault::Flaps { period })),
    ]
}

/// Results of one run with a single failing server.
#[derive(Debug, Clone, Default)]
pub struct GrayRun {
    /// Time from the start of the fault to the ejection; none without an ejection.
    pub detected_after: Option<Duration>,
    /// Number of requests that the server started from the fault to the ejection.
    pub started_count: u64,
    /// Number of requests that the server started during the whole observation.
    pub all_started_count: u64,
    /// Number of ejections of other, healthy servers.
    pub false_ejection_count: u64,
    /// Share of requests within the rate that had no good answer.
    pub bad_share: f64,
    /// Largest number of servers by which a service was below its floor.
    pub below_floor_count: usize,
}

impl GrayRun {
    /// Returns whether the server was ejected within the later of 20 requests and 1 s.
    pub fn detected_in_time(&self) -> bool {
        self.detected_after.is_some_and(|after| {
            after <= DETECTION_TIME || self.started_count <= DETECTION_REQUEST_COUNT
        })
    }
}

/// Returns the options of a simulation whose servers have little noise.
fn simulation_options(
    deployment: DeploymentName,
    policy: &Policy,
    load_factor: f64,
    seed: u64,
) -> SimulationOptions {
    SimulationOptions {
        deployment,
        policy: policy.clone(),
        load_factor,
        noise: Noise::LOW_NOISE,
        seed,
    }
}

/// Runs one case in which one server fails and the others have little noise.
pub fn gray_failure(
    deployment: DeploymentName,
    policy: &Policy,
    case: &GrayCase,
    seed: u64,
) -> GrayRun {
    let mut simulation =
        Simulation::new(&simulation_options(deployment, policy, TYPICAL_LOAD, seed));
    simulation.run_for(WARM_UP_TIME);
    // The last service has two routes and six servers in both deployments.
    let target = match case.fault {
        Some(_) => seed as usize * 7 % simulation.nodes.len(),
        None => simulation.nodes.len() - 1 - seed as usize % 6,
    };
    let last_route = simulation
        .traffic
        .routes
        .last()
        .map(|used| used.contract.route.clone());
    let fault = case
        .fault
        .clone()
        .or(last_route.map(|route| Fault::RouteFails { route }));
    simulation.take_tally();
    simulation.decisions.clear();
    let from = simulation.elapsed();
    let started_before = simulation.nodes[target].started_count;
    simulation.set_fault(target, fault);
    simulation.run_for(GRAY_FAILURE_TIME);
    let mut run = GrayRun {
        all_started_count: simulation.nodes[target].started_count - started_before,
        below_floor_count: simulation.max_below_floor_count,
        ..Default::default()
    };
    for decided in &simulation.decisions {
        if decided.verdict != HealthVerdict::Ejected {
            continue;
        }
        if decided.server != simulation.nodes[target].server_name {
            run.false_ejection_count += 1;
            continue;
        }
        if run.detected_after.is_none() {
            run.detected_after = Some(decided.decided_at - simulation.started_at - from);
            run.started_count = decided.started_count - started_before;
        }
    }
    let within = simulation.tally.within_rate_count().max(1) as f64;
    run.bad_share = 1.0 - (simulation.tally.good_count() as f64 / within).min(1.0);
    run
}

/// Results of one run without a single failing server.
#[derive(Debug, Clone, Copy, Default)]
pub struct FalseEjectionRun {
    /// Number of requests that the servers started.
    pub request_count: u64,
    /// Number of ejections, all of them false.
    pub ejected_count: u64,
    /// Number of simulated servers.
    pub server_count: usize,
    /// Requests for health summaries per second and daemon.
    pub summary_requests_per_s: f64,
    /// Bytes of those requests and their answers per second and daemon.
    pub summary_bytes_per_s: f64,
}

/// A fault that all servers have at once, so that no ejection is justified.
#[derive(Debug, Clone)]
pub struct SharedFaultCase {
    /// Name of the case in tables.
    pub name: &'static str,
    /// Fault of all servers from the middle of the run on; none for noise alone.
    pub fault: Option<Fault>,
}

/// Returns the cases of noise alone and of faults that all servers share.
pub fn shared_fault_cases() -> Vec<SharedFaultCase> {
    let case = |name, fault| SharedFaultCase { name, fault };
    vec![
        case("noisy, healthy", None),
        case("all servers: 30% fail", Some(Fault::Errors { share: 0.3 })),
        case(
            "all servers: 40% 4 times slower",
            Some(Fault::SlowTail {
                share: 0.4,
                factor: 4.0,
            }),
        ),
    ]
}

/// Runs noisy healthy servers, or servers that all have the same fault.
pub fn false_ejections(
    deployment: DeploymentName,
    policy: &Policy,
    case: &SharedFaultCase,
    seed: u64,
) -> FalseEjectionRun {
    let options = SimulationOptions {
        noise: Noise::NOISY,
        ..simulation_options(deployment, policy, TYPICAL_LOAD, seed)
    };
    let mut simulation = Simulation::new(&options);
    simulation.run_for(FALSE_EJECTION_TIME / 2);
    for node in 0..simulation.nodes.len() {
        simulation.set_fault(node, case.fault.clone());
    }
    simulation.run_for(FALSE_EJECTION_TIME / 2);
    let ejected = |one: &&super::tally::RecordedDecision| one.verdict == HealthVerdict::Ejected;
    let daemon_seconds = FALSE_EJECTION_TIME.as_secs_f64() * simulation.nodes.len() as f64;
    FalseEjectionRun {
        request_count: simulation.nodes.iter().map(|node| node.started_count).sum(),
        ejected_count: simulation.decisions.iter().filter(ejected).count() as u64,
        server_count: simulation.nodes.len(),
        summary_requests_per_s: simulation.summary_request_count as f64 / daemon_seconds,
        summary_bytes_per_s: simulation.summary_bytes as f64 / daemon_seconds,
    }
}

/// Results of one run in which one organisation exceeds its rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateSurgeRun {
    /// Share of good answers within the rate, of the organisation with the lowest share.
    pub worst_share: f64,
    /// Share of requests within the rate that were refused.
    pub refused_share: f64,
}

/// Runs a fleet in which one large or small organisation sends several times its rate.
pub fn rate_surge(
    deployment: DeploymentName,
    policy: &Policy,
    large: bool,
    seed: u64,
) -> RateSurgeRun {
    let options = SimulationOptions {
        noise: NO_NOISE,
        ..simulation_options(deployment, policy, SURGE_LOAD, seed)
    };
    let mut simulation = Simulation::new(&options);
    simulation.run_for(WARM_UP_TIME);
    simulation.take_tally();
    let streams = &mut simulation.traffic.streams;
    let surging = if large { 0 } else { streams.len() - 1 };
    streams[surging].load_factor = SURGE_LOAD_FACTOR;
    simulation.run_for(SURGE_TIME);
    let within = simulation.tally.within_rate_count().max(1) as f64;
    RateSurgeRun {
        worst_share: simulation.tally.worst_share(),
        refused_share: simulation.tally.refused_count() as f64 / within,
    }
}

/// Results of one run in which a failure domain is out of service for a time.
#[derive(Debug, Clone, Copy, Default)]
pub struct DomainMoveRun {
    /// 99th percentile of latency before the domain leaves.
    pub p99_before: Duration,
    /// 99th percentile of latency while the domain leaves and is out of service.
    pub p99_while_out: Duration,
    /// 99th percentile of latency after the domain returns.
    pub p99_after_return: Duration,
    /// Number of requests within the rate that failed or were refused since the domain left.
    pub bad_count: u64,
    /// Number of requests within the rate since the domain left.
    pub request_count: u64,
}

/// Runs a fleet in which one failure domain goes out of service and returns.
pub fn domain_move(deployment: DeploymentName, policy: &Policy, seed: u64) -> DomainMoveRun {
    let options = SimulationOptions {
        noise: NO_NOISE,
        ..simulation_options(deployment, policy, DOMAIN_LOAD, seed)
    };
    let mut simulation = Simulation::new(&options);
    simulation.run_for(WARM_UP_TIME);
    simulation.take_tally();
    simulation.run_for(DOMAIN_PHASE_TIME);
    let before = simulation.take_tally();
    let domain = simulation.domains()[seed as usize % simulation.domains().len()].clone();
    simulation.set_domain_out(Some(&domain));
    simulation.run_for(DOMAIN_PHASE_TIME);
    let away = simulation.take_tally();
    simulation.set_domain_out(None);
    simulation.run_for(DOMAIN_PHASE_TIME);
    let back = simulation.take_tally();
    let bad = |tally: &super::tally::Tally| tally.refused_count() + tally.failed_count();
    DomainMoveRun {
        p99_before: before.quantile(0.99),
        p99_while_out: away.quantile(0.99),
        p99_after_return: back.quantile(0.99),
        bad_count: bad(&away) + bad(&back),
        request_count: away.within_rate_count() + back.within_rate_count(),
    }
}
