//! The runs behind the table: one seed of one case each.

use std::time::Duration;

use super::policy::Policy;
use super::server::{Fault, Noise};
use super::world::{World, WorldOptions};
use crate::demo::DeploymentName;
use crate::health::HealthVerdict;

/// Time in which servers warm and daemons learn what is usual.
const WARM_UP: Duration = Duration::from_secs(8);

/// Time for which a failing server is watched.
const FAULT_TIME: Duration = Duration::from_secs(10);

/// Time for which noisy healthy servers are watched.
const QUIET_TIME: Duration = Duration::from_secs(60);

/// Time for which an organisation exceeds its rate.
const SURGE_TIME: Duration = Duration::from_secs(15);

/// Time before, during and after a domain's absence.
const DOMAIN_TIME: Duration = Duration::from_secs(8);

/// Load of the runs, as a share of the sum of contracts.
const USUAL_LOAD: f64 = 0.6;
const SURGE_LOAD: f64 = 0.9;
const DOMAIN_LOAD: f64 = 0.5;

/// How far the surging organisation exceeds its rate.
const SURGE_FACTOR: f64 = 5.0;

/// Detection in time: within the later of these.
const DETECTION_COUNT: u64 = 20;
const DETECTION_TIME: Duration = Duration::from_secs(1);

/// No trouble at all.
const NO_NOISE: Noise = Noise {
    failed_share: 0.0,
    slow_share: 0.0,
    pause_every: None,
    pause_limit: Duration::ZERO,
    blip_every: None,
    blip_limit: Duration::ZERO,
};

/// One case of a failing server.
#[derive(Debug, Clone)]
pub struct GrayCase {
    /// Its name in tables.
    pub name: &'static str,
    /// The fault; none for one route, whose name differs by deployment.
    pub fault: Option<Fault>,
}

/// The cases, worst first.
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

/// What one run with a failing server showed.
#[derive(Debug, Clone, Default)]
pub struct GrayRun {
    /// Time until the ejection.
    pub detected_after: Option<Duration>,
    /// Requests that the server started until then.
    pub started_count: u64,
    /// Requests that the server started in all.
    pub all_started_count: u64,
    /// Ejections of other servers.
    pub false_count: u64,
    /// Share of requests within the rate that were not answered well.
    pub bad_share: f64,
    /// Most servers by which a service fell below its floor.
    pub below_floor_count: usize,
}

impl GrayRun {
    /// Whether the server was ejected within the later of 20 requests and 1 s.
    pub fn in_time(&self) -> bool {
        self.detected_after
            .is_some_and(|after| after <= DETECTION_TIME || self.started_count <= DETECTION_COUNT)
    }
}

fn options(
    deployment: DeploymentName,
    policy: &Policy,
    load_factor: f64,
    seed: u64,
) -> WorldOptions {
    WorldOptions {
        deployment,
        policy: policy.clone(),
        load_factor,
        noise: Noise::CALM,
        seed,
    }
}

/// One server fails; the others are calm.
pub fn gray(deployment: DeploymentName, policy: &Policy, case: &GrayCase, seed: u64) -> GrayRun {
    let mut world = World::new(&options(deployment, policy, USUAL_LOAD, seed));
    world.run_for(WARM_UP);
    // The last service has two routes in both deployments.
    let target = match case.fault {
        Some(_) => seed as usize * 7 % world.nodes.len(),
        None => world.nodes.len() - 1 - seed as usize % 6,
    };
    let last_route = world
        .traffic
        .routes
        .last()
        .map(|used| used.route.route.clone());
    let fault = case
        .fault
        .clone()
        .or(last_route.map(|route| Fault::RouteFails { route }));
    world.restart_tally();
    world.decided.clear();
    let from = world.passed();
    let started_before = world.nodes[target].started_count;
    world.set_fault(target, fault);
    world.run_for(FAULT_TIME);
    let mut run = GrayRun {
        all_started_count: world.nodes[target].started_count - started_before,
        below_floor_count: world.most_below_floor_count,
        ..Default::default()
    };
    for decided in &world.decided {
        if decided.verdict != HealthVerdict::Ejected {
            continue;
        }
        if decided.server != world.nodes[target].server_name {
            run.false_count += 1;
            continue;
        }
        if run.detected_after.is_none() {
            run.detected_after = Some(decided.at - world.began_at - from);
            run.started_count = decided.started_count - started_before;
        }
    }
    let within = world.tally.within_count().max(1) as f64;
    run.bad_share = 1.0 - (world.tally.good_count() as f64 / within).min(1.0);
    run
}

/// What a run without failing servers showed.
#[derive(Debug, Clone, Copy, Default)]
pub struct QuietRun {
    /// Requests that servers started.
    pub request_count: u64,
    /// Ejections.
    pub ejected_count: u64,
    /// Servers.
    pub server_count: usize,
    /// Questions for summaries, a second and daemon.
    pub asked_per_s: f64,
    /// Bytes of those questions and their answers, a second and daemon.
    pub asked_bytes_per_s: f64,
}

/// What all servers meet at once.
#[derive(Debug, Clone)]
pub struct SharedCase {
    /// Its name in tables.
    pub name: &'static str,
    /// What all servers meet from half of the run on; none for noise alone.
    pub fault: Option<Fault>,
}

/// Noise, and troubles that all servers share.
pub fn shared_cases() -> Vec<SharedCase> {
    let case = |name, fault| SharedCase { name, fault };
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

/// Noisy healthy servers, or all with the same trouble.
pub fn quiet(
    deployment: DeploymentName,
    policy: &Policy,
    case: &SharedCase,
    seed: u64,
) -> QuietRun {
    let options = WorldOptions {
        noise: Noise::NOISY,
        ..options(deployment, policy, USUAL_LOAD, seed)
    };
    let mut world = World::new(&options);
    world.run_for(QUIET_TIME / 2);
    for at in 0..world.nodes.len() {
        world.set_fault(at, case.fault.clone());
    }
    world.run_for(QUIET_TIME / 2);
    let ejected = |one: &&super::tally::Decided| one.verdict == HealthVerdict::Ejected;
    let daemon_seconds = QUIET_TIME.as_secs_f64() * world.nodes.len() as f64;
    QuietRun {
        request_count: world.nodes.iter().map(|node| node.started_count).sum(),
        ejected_count: world.decided.iter().filter(ejected).count() as u64,
        server_count: world.nodes.len(),
        asked_per_s: world.asked_count as f64 / daemon_seconds,
        asked_bytes_per_s: world.asked_bytes as f64 / daemon_seconds,
    }
}

/// What a run with a surging organisation showed.
#[derive(Debug, Clone, Copy, Default)]
pub struct FairnessRun {
    /// Share of good answers within the rate, of the organisation that fared worst.
    pub worst_share: f64,
    /// Share of requests within the rate that were refused.
    pub refused_share: f64,
}

/// One organisation, large or small, sends several times its rate.
pub fn fairness(
    deployment: DeploymentName,
    policy: &Policy,
    large: bool,
    seed: u64,
) -> FairnessRun {
    let options = WorldOptions {
        noise: NO_NOISE,
        ..options(deployment, policy, SURGE_LOAD, seed)
    };
    let mut world = World::new(&options);
    world.run_for(WARM_UP);
    world.restart_tally();
    let streams = &mut world.traffic.streams;
    let surging = if large { 0 } else { streams.len() - 1 };
    streams[surging].load_factor = SURGE_FACTOR;
    world.run_for(SURGE_TIME);
    let within = world.tally.within_count().max(1) as f64;
    FairnessRun {
        worst_share: world.tally.worst_share(),
        refused_share: world.tally.refused_count() as f64 / within,
    }
}

/// What a run with a domain's absence showed.
#[derive(Debug, Clone, Copy, Default)]
pub struct DomainRun {
    /// 99th percentile before.
    pub before: Duration,
    /// 99th percentile while the domain leaves and is away.
    pub away: Duration,
    /// 99th percentile while it returns.
    pub back: Duration,
    /// Requests that were not answered well, from the leaving on.
    pub bad_count: u64,
    /// Requests from the leaving on.
    pub request_count: u64,
}

/// One domain goes out of service and comes back.
pub fn domains(deployment: DeploymentName, policy: &Policy, seed: u64) -> DomainRun {
    let options = WorldOptions {
        noise: NO_NOISE,
        ..options(deployment, policy, DOMAIN_LOAD, seed)
    };
    let mut world = World::new(&options);
    world.run_for(WARM_UP);
    world.restart_tally();
    world.run_for(DOMAIN_TIME);
    let before = world.restart_tally();
    let domain = world.domains()[seed as usize % world.domains().len()].clone();
    world.take_domain_out(Some(&domain));
    world.run_for(DOMAIN_TIME);
    let away = world.restart_tally();
    world.take_domain_out(None);
    world.run_for(DOMAIN_TIME);
    let back = world.restart_tally();
    let bad = |tally: &super::tally::Tally| tally.refused_count() + tally.failed_count();
    DomainRun {
        before: before.quantile(0.99),
        away: away.quantile(0.99),
        back: back.quantile(0.99),
        bad_count: bad(&away) + bad(&back),
        request_count: away.within_count() + back.within_count(),
    }
}
