//! Daemons, messages and the log in memory, under virtual time.

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

/// Makes the state of one process of a daemon.
pub type PolicyFactory = Box<dyn Fn(Candidate) -> Box<dyn Policy>>;

enum SimEvent {
    Fault(Fault),
    Event(usize, u64, AllowanceEvent),
    Asked {
        to: usize,
        from: (usize, u64, PeerName),
        call: CallId,
        request: PeerRequest,
    },
    Arrive {
        daemon: usize,
        organisation: usize,
    },
    ReadSent(usize, u64),
    ReadArrives(LogReader),
    ReadOver(LogReader),
    Appended(EscrowRecord),
    Fleet(usize, u64),
}

struct Node {
    name: DaemonId,
    domain: DomainId,
    /// Counts its processes.
    process: u64,
    /// The number that it bears.
    incarnation: Incarnation,
    policy: Option<Box<dyn Policy>>,
    leaving: bool,
    /// Seen by membership; a crashed daemon is seen for a while.
    is_member: bool,
    paused_until: Instant,
    log_cut: bool,
    next_offset: u64,
    view: Arc<View>,
}

/// The fleet.
pub struct Network {
    options: NetworkOptions,
    make_policy: PolicyFactory,
    rng: ChaCha8Rng,
    start: Instant,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled_events: HashMap<u64, SimEvent>,
    sequence: u64,
    nodes: Vec<Node>,
    cuts: BTreeMap<(usize, usize), bool>,
    log: EscrowLog,
    view: View,
    operation: OperationId,
    /// Requests that wait for a grant or refusal.
    open_requests: HashMap<RequestId, (usize, Instant)>,
    next_request: RequestId,
    replies: HashMap<CallId, (usize, u64, CallId)>,
    next_reply: CallId,
    /// Messages between daemons so far.
    pub message_count: u64,
    /// By organisation, in the order of `organisations`.
    pub scores: Vec<Score>,
    organisations: Vec<OrganisationId>,
    /// Daemons that granted, with the time, for questions of a scenario.
    pub grants: Vec<(Instant, usize, usize)>,
}

impl Network {
    /// A fleet in which nothing runs yet.
    pub fn new(
        options: NetworkOptions,
        make_policy: PolicyFactory,
        contracts: &[OrganisationContract],
    ) -> Network {
        let start = Instant::now();
        let node = |index: usize| Node {
            name: format!("daemon-{index}").into(),
            domain: format!("domain-{}", index % options.domain_count).into(),
            process: 0,
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
            sequence: 0,
            nodes,
            cuts: BTreeMap::new(),
            log: EscrowLog::default(),
            view: View::default(),
            operation: 0,
            open_requests: HashMap::new(),
            next_request: 1,
            replies: HashMap::new(),
            next_reply: 1,
            message_count: 0,
            grants: Vec::new(),
        };
        for contract in contracts {
            network.put_contract(contract);
        }
        network
    }

    /// When the run began.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// The time now.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Records in the log.
    pub fn record_count(&self) -> usize {
        self.log.record_count()
    }

    /// Lets something happen at a time after the start.
    pub fn schedule_fault(&mut self, after: Duration, fault: Fault) {
        self.schedule(self.start + after, SimEvent::Fault(fault));
    }

    /// Lets a request arrive at a daemon.
    pub fn schedule_request(&mut self, after: Duration, daemon: usize, organisation: usize) {
        let at = self.start + after;
        let scheduled = SimEvent::Arrive {
            daemon,
            organisation,
        };
        self.schedule(at, scheduled);
    }

    /// Runs until a time after the start.
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
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.scheduled_events.insert(self.sequence, scheduled);
    }

    fn handle_scheduled(&mut self, scheduled: SimEvent) {
        match scheduled {
            SimEvent::Fault(fault) => self.apply_fault(fault),
            SimEvent::Event(daemon, process, event) => self.deliver_event(daemon, process, event),
            SimEvent::Asked {
                to,
                from,
                call,
                request,
            } => self.asked(to, from, call, request),
            SimEvent::Arrive {
                daemon,
                organisation,
            } => self.receive_request(daemon, organisation),
            SimEvent::ReadSent(daemon, process) => self.send_read(daemon, process),
            SimEvent::ReadArrives(reader) => self.read_arrives(reader),
            SimEvent::ReadOver(reader) => {
                if self.log.give_up(&reader) {
                    self.answer_read(reader);
                }
            }
            SimEvent::Appended(record) => {
                for reader in self.log.append(record) {
                    self.answer_read(reader);
                }
            }
            SimEvent::Fleet(daemon, process) => {
                let fleet = Arc::new(self.fleet());
                self.deliver_event(daemon, process, AllowanceEvent::Fleet(fleet));
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
                let process = self.nodes[daemon].process;
                self.nodes[daemon].leaving = true;
                self.deliver_event(daemon, process, AllowanceEvent::Leave);
                self.publish_fleet(Duration::ZERO);
            }
            Fault::Pause(daemon, time) => self.nodes[daemon].paused_until = self.now + time,
            Fault::LogDown(down) => self.log.down = down,
            Fault::Cut(a, b, cut) => {
                self.cuts.insert((a, b), cut);
                self.cuts.insert((b, a), cut);
            }
            Fault::CutOneWay(a, b, cut) => {
                self.cuts.insert((a, b), cut);
            }
            Fault::LogCut(daemon, cut) => self.nodes[daemon].log_cut = cut,
            Fault::Publish(contract) => {
                self.put_contract(&contract);
                let view = Arc::new(self.view.clone());
                for daemon in 0..self.nodes.len() {
                    self.nodes[daemon].view = view.clone();
                    let at = self.now + self.random_between(Duration::ZERO, CONTRACT_READ_DELAY);
                    let event = AllowanceEvent::View(view.clone());
                    self.schedule(
                        at,
                        SimEvent::Event(daemon, self.nodes[daemon].process, event),
                    );
                }
            }
        }
    }

    fn put_contract(&mut self, contract: &OrganisationContract) {
        let change = Change::PublishOrganisation {
            contract: contract.clone(),
        };
        self.operation += 1;
        let record = Record {
            operation: self.operation,
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
            node.process += 1;
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
        let process = self.nodes[daemon].process;
        let view = self.nodes[daemon].view.clone();
        self.deliver_event(daemon, process, AllowanceEvent::View(view));
        self.send_read(daemon, process);
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
        self.deliver_event(daemon, self.nodes[daemon].process, event);
    }

    /// Gives an event to a daemon; a paused one takes it when it goes on.
    fn deliver_event(&mut self, daemon: usize, process: u64, event: AllowanceEvent) {
        let node = &mut self.nodes[daemon];
        if node.process != process {
            return;
        }
        if self.now < node.paused_until {
            let at = node.paused_until;
            return self.schedule(at, SimEvent::Event(daemon, process, event));
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
            self.schedule(at, SimEvent::Event(daemon, process, AllowanceEvent::Tick));
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
const READ_WAIT: Duration = Duration::from_secs(1);
const READ_RETRY: Duration = Duration::from_millis(250);
/// How long a daemon takes to hear of a change of the fleet.
const FLEET_CHANGE_DELAY: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(300));
/// How long membership takes to see that a daemon is gone.
const DETECTION_DELAY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(6));
/// How long daemons take to read a contract.
const CONTRACT_READ_DELAY: Duration = Duration::from_secs(5);
