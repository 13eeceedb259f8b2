//! Discrete-event simulation of a whole fleet.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::Site;
use super::event_queue::EventQueue;
use super::node::{Node, NodeIdentity};
use super::permits::FakePermits;
use super::policy::Policy;
use super::server::{FakeServer, Fault, Noise};
use super::tally::{RecordedDecision, Tally};
use super::traffic::Traffic;
use crate::demo::DeploymentName;
use crate::guard::message::{AttemptKey, GuardRequest, ServerOutcome};
use crate::guard::GuardEvent;
use crate::health::{HealthEvent, ServerSummary};
use crate::membership::Fleet;
use crate::routing::{AttemptOutcome, RoutingEvent};
use crate::types::{Attempt, BackendServerId, DaemonId, DomainId, RequestId, ServiceId};

/// One-way delay between two daemons.
pub(super) const LINK_DELAY: Duration = Duration::from_micros(500);
/// Time to open a connection to a guard.
pub(super) const CONNECT_TIME: Duration = Duration::from_millis(1);
/// Time from the request for an ejection permit to its answer.
pub(super) const PERMIT_DELAY: Duration = Duration::from_millis(5);
/// Time until all daemons know of a change in one of them.
const SPREAD_DELAY: Duration = Duration::from_millis(500);
/// Time between two announcements of a server.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(600);

/// An event in the fleet; `node`, `from`, `to` and `stream` are indexes unless they are ids.
pub(super) enum Event {
    CallerRequest {
        stream: usize,
    },
    AttemptArrived {
        node: usize,
        from: usize,
        request: GuardRequest,
        sent_at: Instant,
    },
    ServerFinished {
        node: usize,
        key: AttemptKey,
        outcome: ServerOutcome,
    },
    AttemptAnswered {
        node: usize,
        request: RequestId,
        attempt: Attempt,
        outcome: AttemptOutcome,
        sent_at: Instant,
    },
    FenceArrived {
        node: usize,
        from: usize,
        fence: crate::link::FenceRequest,
    },
    GuardTick {
        node: usize,
    },
    HealthTick {
        node: usize,
    },
    SummaryRequested {
        from: usize,
        to: usize,
        service: ServiceId,
    },
    SummaryAnswered {
        to: usize,
        from: DaemonId,
        service: ServiceId,
        servers: Vec<ServerSummary>,
    },
    PermitAnswered {
        to: usize,
        service: ServiceId,
        server: BackendServerId,
    },
    ServerAnnounces {
        node: usize,
    },
    /// All daemons receive the present entries of all daemons.
    SpreadEntries,
    /// The server of a node finishes no request for a random time.
    ServerPauses {
        node: usize,
    },
    /// The server of a node fails every request for a random time.
    ServerBlips {
        node: usize,
    },
}

/// A caller's request without an outcome yet: the index of its stream, its arrival and deadline.
pub(super) struct PendingRequest {
    pub(super) stream: usize,
    pub(super) arrived_at: Instant,
    pub(super) deadline_at: Instant,
}

/// Deployment, policy, load and seed of one simulation.
#[derive(Debug, Clone)]
pub struct SimulationOptions {
    /// Deployment that is simulated.
    pub deployment: DeploymentName,
    /// Policy that all daemons follow.
    pub policy: Policy,
    /// Load of each organisation, as a multiple of its contracted rate.
    pub load_factor: f64,
    /// Noise of the healthy servers.
    pub noise: Noise,
    /// Seed of all random draws.
    pub seed: u64,
}

/// A simulated fleet of one site, with its future events, virtual time, random draws and results.
pub struct Simulation {
    /// Present time on the virtual clock.
    pub(super) now: Instant,
    /// Virtual time at which the simulation started.
    pub started_at: Instant,
    pub(super) events: EventQueue<Event>,
    pub(super) random: ChaCha8Rng,
    pub(super) site: Site,
    /// Request streams of all organisations.
    pub traffic: Traffic,
    /// All VMs, each with one backend server.
    pub nodes: Vec<Node>,
    /// Index in `nodes` of each daemon's node.
    pub(super) node_indexes: HashMap<DaemonId, usize>,
    /// Register of the ejection permits.
    pub permits: FakePermits,
    pub(super) pending_requests: HashMap<RequestId, PendingRequest>,
    /// Number of request ids given out so far.
    pub(super) request_count: u128,
    /// Whether a spread of daemon entries is in the event queue.
    pub(super) spread_due: bool,
    /// Pairs of node indexes that cannot reach each other, in either direction.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Outcomes of the requests since the last `take_tally`.
    pub tally: Tally,
    /// All decisions of the health duties, in the order of time.
    pub decisions: Vec<RecordedDecision>,
    /// Number of requests for health summaries between daemons.
    pub summary_request_count: u64,
    /// Bytes of those requests and their answers.
    pub summary_bytes: u64,
    /// Largest number of servers by which ejections brought a service below its floor.
    pub max_below_floor_count: usize,
}

impl Simulation {
    /// Builds a fleet whose servers announce themselves at once.
    pub fn new(options: &SimulationOptions) -> Simulation {
        let now = Instant::now();
        let site = Site::named(options.deployment);
        let traffic = Traffic::new(&site, now, options.load_factor);
        let mut fleet = Simulation {
            now,
            started_at: now,
            events: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            traffic,
            nodes: Vec::new(),
            node_indexes: HashMap::new(),
            permits: FakePermits::default(),
            pending_requests: HashMap::new(),
            request_count: 0,
            spread_due: false,
            blocked_links: BTreeSet::new(),
            tally: Tally::default(),
            decisions: Vec::new(),
            summary_request_count: 0,
            summary_bytes: 0,
            max_below_floor_count: 0,
            site,
        };
        fleet.add_nodes(options);
        fleet.set_domain_out(None);
        for stream in 0..fleet.traffic.streams.len() {
            let gap = fleet.traffic.random_gap(stream, &mut fleet.random);
            fleet.events.add(now + gap, Event::CallerRequest { stream });
        }
        fleet
    }

    fn add_nodes(&mut self, options: &SimulationOptions) {
        let services = self.site.deployment.services.clone();
        let domains = self.site.deployment.domains.clone();
        for service in services {
            let floor = service.contract.floor_share * service.server_count as f64;
            let limit_count = service.server_count - floor.ceil() as usize;
            self.permits
                .set_limit(&service.contract.service, limit_count);
            for number in 0..service.server_count {
                let name = NodeIdentity {
                    index: self.nodes.len(),
                    domain: domains[number % domains.len()].clone(),
                    service: service.contract.service.clone(),
                };
                let server = FakeServer {
                    work: Duration::from_millis(service.work_ms),
                    noise: options.noise,
                    fault: None,
                    paused_until: None,
                    blip_until: None,
                    cold_until: None,
                };
                self.add_node(Node::new(name, &options.policy, server, options.seed));
            }
        }
    }

    fn add_node(&mut self, added: Node) {
        let node = self.nodes.len();
        self.node_indexes.insert(added.entry.daemon.clone(), node);
        self.nodes.push(added);
        self.events.add(self.now, Event::ServerAnnounces { node });
        self.schedule_pause(node);
        self.schedule_blip(node);
    }

    /// Runs the simulation for the given virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.events.pop_before(end) {
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Returns the virtual time since the simulation started.
    pub fn elapsed(&self) -> Duration {
        self.now - self.started_at
    }

    /// Makes a server fail from now on, or restores it if there is no fault.
    pub fn set_fault(&mut self, node: usize, fault: Option<Fault>) {
        self.nodes[node].server.fault = fault.map(|fault| (self.now, fault));
    }

    /// Takes one failure domain out of service and all others in, or all of them in.
    pub fn set_domain_out(&mut self, domain: Option<&DomainId>) {
        let view = self.site.view(domain);
        for node in 0..self.nodes.len() {
            self.nodes[node].update_view(self.now, &view);
            let out = domain.is_some_and(|domain| *domain == self.nodes[node].entry.domain);
            self.guard_event(node, GuardEvent::Domain { out });
        }
    }

    /// Returns the failure domains of the deployment.
    pub fn domains(&self) -> &[DomainId] {
        &self.site.deployment.domains
    }

    /// Returns the outcomes so far and starts a new tally.
    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::CallerRequest { stream } => self.handle_caller_request(stream),
            Event::AttemptArrived {
                node,
                from,
                request,
                sent_at,
            } => self.attempt_arrived(node, from, request, sent_at),
            Event::ServerFinished { node, key, outcome } => {
                self.server_finished(node, key, outcome)
            }
            Event::AttemptAnswered {
                node,
                request,
                attempt,
                outcome,
                sent_at,
            } => {
                let event = RoutingEvent::Attempted {
                    request,
                    attempt,
                    outcome,
                    elapsed: self.now - sent_at,
                    resendable: true,
                };
                self.routing_event(node, event);
            }
            Event::FenceArrived { node, from, fence } => self.handle_fence(node, from, fence),
            Event::GuardTick { node } => self.guard_tick(node),
            Event::HealthTick { node } => self.health_tick(node),
            Event::SummaryRequested { from, to, service } => {
                self.answer_summary_request(from, to, service)
            }
            Event::SummaryAnswered {
                to,
                from,
                service,
                servers,
            } => self.health_event(
                to,
                HealthEvent::Summary {
                    from,
                    service,
                    servers,
                },
            ),
            Event::PermitAnswered {
                to,
                service,
                server,
            } => {
                if self.permits.is_unreachable {
                    return;
                }
                let holds_until = self.permits.request(self.now, &service, &server);
                self.health_event(
                    to,
                    HealthEvent::Permit {
                        service,
                        server,
                        holds_until,
                    },
                );
            }
            Event::ServerAnnounces { node } => {
                let announcement = self.nodes[node].announcement();
                self.guard_event(node, GuardEvent::Announced(announcement));
                let next_at = self.now + ANNOUNCE_PERIOD;
                self.events.add(next_at, Event::ServerAnnounces { node });
            }
            Event::SpreadEntries => self.spread(),
            Event::ServerPauses { node } => {
                let limit = self.nodes[node].server.noise.pause_limit;
                let pause = limit.mul_f64(self.random.random::<f64>());
                self.nodes[node].server.paused_until = Some(self.now + pause);
                self.schedule_pause(node);
            }
            Event::ServerBlips { node } => {
                let limit = self.nodes[node].server.noise.blip_limit;
                let blip = limit.mul_f64(self.random.random::<f64>());
                self.nodes[node].server.blip_until = Some(self.now + blip);
                self.schedule_blip(node);
            }
        }
    }

    fn schedule_pause(&mut self, node: usize) {
        if let Some(gap) = self.random_gap(self.nodes[node].server.noise.pause_interval) {
            self.events
                .add(self.now + gap, Event::ServerPauses { node });
        }
    }

    fn schedule_blip(&mut self, node: usize) {
        if let Some(gap) = self.random_gap(self.nodes[node].server.noise.blip_interval) {
            self.events.add(self.now + gap, Event::ServerBlips { node });
        }
    }

    /// Draws a time from the exponential distribution with this mean.
    fn random_gap(&mut self, mean: Option<Duration>) -> Option<Duration> {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        mean.map(|mean| mean.mul_f64(-uniform.ln()))
    }

    /// Schedules the next spread, unless one is already due.
    pub(super) fn schedule_spread(&mut self) {
        if std::mem::replace(&mut self.spread_due, true) {
            return;
        }
        self.events
            .add(self.now + SPREAD_DELAY, Event::SpreadEntries);
    }

    /// Delivers the present entries of all daemons to each of them.
    fn spread(&mut self) {
        self.spread_due = false;
        let mut fleet = Fleet::default();
        for node in &self.nodes {
            let entry = Arc::new(node.entry.clone());
            fleet.daemons.insert(entry.daemon.clone(), entry);
        }
        let fleet = Arc::new(fleet);
        for node in 0..self.nodes.len() {
            self.routing_event(node, RoutingEvent::Fleet(fleet.clone()));
            self.health_event(node, HealthEvent::Fleet(fleet.clone()));
        }
    }
}
