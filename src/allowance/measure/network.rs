//! Simulates a fleet of daemons, their messages and the log in virtual time.

mod delivery;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::escrow_log::{EscrowLog, LogReader};
use super::fault::{Fault, NetworkOptions};
use super::score::Score;
use super::Policy;
use crate::allowance::message::{AllowanceAction, AllowanceEvent, CallId};
use crate::allowance::partition::Candidate;
use crate::allowance::EscrowRecord;
use crate::contract::{Change, OrganisationContract, Record, View};
use crate::link::{PeerAnswer, PeerName, PeerRequest};
use crate::types::{DaemonId, DomainId, Incarnation, OperationId, OrganisationId, RequestId};

/// Creates the policy of a daemon when it starts.
pub type PolicyFactory = Box<dyn Fn(Candidate) -> Box<dyn Policy>>;

enum SimEvent {
    Fault(Fault),
    Event(usize, u64, AllowanceEvent),
    PeerAsked {
        to: usize,
        from: (usize, u64, PeerName),
        call: CallId,
        request: PeerRequest,
    },
    RequestArrived {
        daemon: usize,
        organisation: usize,
    },
    SendRead(usize, u64),
    ReadArrived(LogReader),
    ReadTimedOut(LogReader),
    RecordArrived(EscrowRecord),
    FleetChanged(usize, u64),
}

/// A simulated daemon, running or not.
struct Node {
    name: DaemonId,
    domain: DomainId,
    /// Counts the starts of this daemon; what is meant for an earlier run is dropped.
    run: u64,
    incarnation: Incarnation,
    policy: Option<Box<dyn Policy>>,
    leaving: bool,
    /// Whether membership lists the daemon; a crash is published after `DETECTION_DELAY`.
    is_member: bool,
    paused_until: Instant,
    log_cut: bool,
    next_offset: u64,
    view: Arc<View>,
}

/// A simulated fleet with its network, log and contracts.
pub struct Network {
    options: NetworkOptions,
    make_policy: PolicyFactory,
    rng: ChaCha8Rng,
    start: Instant,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled_events: HashMap<u64, SimEvent>,
    last_sequence: u64,
    nodes: Vec<Node>,
    cut_links: BTreeMap<(usize, usize), bool>,
    log: EscrowLog,
    view: View,
    last_operation: OperationId,
    /// Requests that wait for a grant or refusal, with their organisation and arrival.
    open_requests: HashMap<RequestId, (usize, Instant)>,
    next_request: RequestId,
    pending_replies: HashMap<CallId, (usize, u64, CallId)>,
    next_reply: CallId,
    /// Number of messages between daemons so far.
    pub message_count: u64,
    /// Scores by organisation, in the order of `organisations`.
    pub scores: Vec<Score>,
    organisations: Vec<OrganisationId>,
    /// Every grant as time, daemon and organisation.
    pub grants: Vec<(Instant, usize, usize)>,
}

impl Network {
    /// Creates a fleet in which no daemon runs yet.
    pub fn new(
        options: NetworkOptions,
        make_policy: PolicyFactory,
        contracts: &[OrganisationContract],
    ) -> Network {
        let start = Instant::now();
        let node = |index: usize| Node {
            name: format!("daemon-{index}").into(),
            domain: format!("domain-{}", index % options.domain_count).into(),
            run: 0,
            incarnation: 0,
            policy: None,
            leaving: false,
            is_member: false,
            paused_until: start,
            log_cut: false,
            next_offset: 0,
            view: Arc::default(),
        };
        let nodes = (0..options.daemon_count).map(node).collect();
        let score =
            |c: &OrganisationContract| Score::new(start, c.rate_per_s, f64::from(c.burst_count));
        let mut network = Network {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            scores: contracts.iter().map(score).collect(),
            organisations: contracts.iter().map(|c| c.organisation.clone()).collect(),
            options,
            make_policy,
            start,
            now: start,
            queue: BinaryHeap::new(),
            scheduled_events: HashMap::new(),
            last_sequence: 0,
            nodes,
            cut_links: BTreeMap::new(),
            log: EscrowLog::default(),
            view: View::default(),
            last_operation: 0,
            open_requests: HashMap::new(),
            next_request: 1,
            pending_replies: HashMap::new(),
            next_reply: 1,
            message_count: 0,
            grants: Vec::new(),
        };
        for contract in contracts {
            network.apply_contract(contract);
        }
        network
    }

    /// Returns when the run began.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Returns the present virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the number of records in the log.
    pub fn record_count(&self) -> usize {
        self.log.record_count()
    }

    /// Schedules a fault at a time after the start.
    pub fn schedule_fault(&mut self, after: Duration, fault: Fault) {
        self.schedule(self.start + after, SimEvent::Fault(fault));
    }

    /// Schedules a request that arrives at a daemon.
    pub fn schedule_request(&mut self, after: Duration, daemon: usize, organisation: usize) {
        let at = self.start + after;
        let scheduled = SimEvent::RequestArrived {
            daemon,
            organisation,
        };
        self.schedule(at, scheduled);
    }

    /// Runs all events up to a time after the start.
    pub fn run_until(&mut self, after: Duration) {
        let until = self.start + after;
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, sequence))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            if let Some(scheduled) = self.scheduled_events.remove(&sequence) {
                self.handle_scheduled(scheduled);
            }
        }
        self.now = self.now.max(until);
    }

    fn schedule(&mut self, at: Instant, scheduled: SimEvent) {
        self.last_sequence += 1;
        self.queue.push(Reverse((at, self.last_sequence)));
        self.scheduled_events.insert(self.last_sequence, scheduled);
    }

    fn handle_scheduled(&mut self, scheduled: SimEvent) {
        match scheduled {
            SimEvent::Fault(fault) => self.apply_fault(fault),
            SimEvent::Event(daemon, run, event) => self.deliver_event(daemon, run, event),
            SimEvent::PeerAsked {
                to,
                from,
                call,
                request,
            } => self.asked(to, from, call, request),
            SimEvent::RequestArrived {
                daemon,
                organisation,
            } => self.receive_request(daemon, organisation),
            SimEvent::SendRead(daemon, run) => self.send_read(daemon, run),
            SimEvent::ReadArrived(reader) => self.read_arrives(reader),
            SimEvent::ReadTimedOut(reader) => {
                if self.log.give_up(&reader) {
                    self.answer_read(reader);
                }
            }
            SimEvent::RecordArrived(record) => {
                for reader in self.log.append(record) {
                    self.answer_read(reader);
                }
            }
            SimEvent::FleetChanged(daemon, run) => {
                let fleet = Arc::new(self.fleet());
                self.deliver_event(daemon, run, AllowanceEvent::Fleet(fleet));
            }
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Start(daemon) => self.start_daemon(daemon),
            Fault::Raise(daemon) => self.raise_incarnation(daemon),
            Fault::Crash(daemon) => {
                self.nodes[daemon].policy = None;
                let detected_in = self.random_between(DETECTION_DELAY.0, DETECTION_DELAY.1);
                self.nodes[daemon].is_member = false;
                self.publish_fleet(detected_in);
            }
            Fault::Leave(daemon) => {
                let run = self.nodes[daemon].run;
                self.nodes[daemon].leaving = true;
                self.deliver_event(daemon, run, AllowanceEvent::Leave);
                self.publish_fleet(Duration::ZERO);
            }
            Fault::Pause(daemon, time) => self.nodes[daemon].paused_until = self.now + time,
            Fault::LogDown(down) => self.log.down = down,
            Fault::Cut(a, b, cut) => {
                self.cut_links.insert((a, b), cut);
                self.cut_links.insert((b, a), cut);
            }
            Fault::CutOneWay(a, b, cut) => {
                self.cut_links.insert((a, b), cut);
            }
            Fault::LogCut(daemon, cut) => self.nodes[daemon].log_cut = cut,
            Fault::Publish(contract) => {
                self.apply_contract(&contract);
                let view = Arc::new(self.view.clone());
                for daemon in 0..self.nodes.len() {
                    self.nodes[daemon].view = view.clone();
                    let at = self.now + self.random_between(Duration::ZERO, CONTRACT_READ_DELAY);
                    let event = AllowanceEvent::View(view.clone());
                    self.schedule(at, SimEvent::Event(daemon, self.nodes[daemon].run, event));
                }
            }
        }
    }

    fn apply_contract(&mut self, contract: &OrganisationContract) {
        let change = Change::PublishOrganisation {
            contract: contract.clone(),
        };
        self.last_operation += 1;
        let record = Record {
            operation: self.last_operation,
            base: self.view.base_of(&change),
            author: "script".to_owned(),
            at_ms: 0,
            change,
        };
        self.view.apply(self.view.next, &record);
        let view = Arc::new(self.view.clone());
        for node in &mut self.nodes {
            node.view = view.clone();
        }
    }

    fn start_daemon(&mut self, daemon: usize) {
        let own = {
            let node = &mut self.nodes[daemon];
            node.run += 1;
            node.incarnation += 1;
            node.leaving = false;
            node.is_member = true;
            node.paused_until = self.now;
            node.next_offset = 0;
            Candidate {
                name: PeerName {
                    daemon: node.name.clone(),
                    incarnation: node.incarnation,
                },
                domain: node.domain.clone(),
            }
        };
        self.nodes[daemon].policy = Some((self.make_policy)(own));
        let run = self.nodes[daemon].run;
        let view = self.nodes[daemon].view.clone();
        self.deliver_event(daemon, run, AllowanceEvent::View(view));
        self.send_read(daemon, run);
        self.publish_fleet(Duration::ZERO);
    }

    fn receive_request(&mut self, daemon: usize, organisation: usize) {
        let count = self.nodes.len();
        let takes = |index: &usize| {
            let node = &self.nodes[*index];
            node.policy.is_some() && !node.leaving
        };
        let mut turns = (0..count).map(|turn| (daemon + turn) % count);
        let Some(daemon) = turns.find(takes) else {
            return;
        };
        let request = self.next_request;
        self.next_request += 1;
        self.scores[organisation].sent(self.now);
        self.open_requests.insert(request, (organisation, self.now));
        let event = AllowanceEvent::Take {
            request,
            organisation: self.organisations[organisation].clone(),
        };
        self.deliver_event(daemon, self.nodes[daemon].run, event);
    }

    /// Delivers an event to a daemon's policy, after its pause if it is paused.
    fn deliver_event(&mut self, daemon: usize, run: u64, event: AllowanceEvent) {
        let node = &mut self.nodes[daemon];
        if node.run != run {
            return;
        }
        if self.now < node.paused_until {
            let at = node.paused_until;
            return self.schedule(at, SimEvent::Event(daemon, run, event));
        }
        let Some(policy) = &mut node.policy else {
            return;
        };
        let before = policy.next_at();
        let actions = policy.handle(self.now, event);
        let after = policy.next_at();
        for action in actions {
            self.carry_out(daemon, action);
        }
        if let Some(at) = after.filter(|_| after != before) {
            let at = at.max(self.now);
            self.schedule(at, SimEvent::Event(daemon, run, AllowanceEvent::Tick));
        }
    }

    fn carry_out(&mut self, daemon: usize, action: AllowanceAction) {
        match action {
            AllowanceAction::Grant { request } => {
                if let Some((organisation, sent_at)) = self.open_requests.remove(&request) {
                    self.scores[organisation].granted(self.now, sent_at);
                    self.grants.push((self.now, daemon, organisation));
                }
            }
            AllowanceAction::Refuse { request, .. } => {
                if let Some((organisation, _)) = self.open_requests.remove(&request) {
                    self.scores[organisation].refused();
                }
            }
            AllowanceAction::Call { call, to, request } => self.call(daemon, call, &to, request),
            AllowanceAction::Lend { call, answer } => {
                self.reply(daemon, call, PeerAnswer::Borrow(answer));
            }
            AllowanceAction::Leased { call, answer } => {
                self.reply(daemon, call, PeerAnswer::Lease(answer));
            }
            AllowanceAction::Append(record) => self.append(daemon, record),
            AllowanceAction::Permit { .. } | AllowanceAction::Count(_) => {}
        }
    }

    fn random_between(&mut self, low: Duration, high: Duration) -> Duration {
        self.rng.random_range(low..=high)
    }
}

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const READ_WAIT_LIMIT: Duration = Duration::from_secs(1);
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest and longest time until a daemon learns of a change of the fleet.
const FLEET_DELAY: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(300));
/// Shortest and longest time until membership drops a crashed daemon.
const DETECTION_DELAY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(6));
/// Longest time until a daemon has read a new contract.
const CONTRACT_READ_DELAY: Duration = Duration::from_secs(5);
