//! Fair queue of one backend server: deficit round robin over organisations within lanes of
//! urgency.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;
use std::time::Instant;

use super::message::{AttemptKey, GuardRequest};
use crate::types::OrganisationId;

/// Requests taken in a row from the most urgent lane while other lanes wait.
const URGENT_RUN_LIMIT_COUNT: u32 = 7;
/// Deficit that one request uses up.
const REQUEST_COST: u64 = 1;

/// Requests that wait for a slot of one server.
pub struct FairQueue {
    /// Most requests that may wait.
    limit_count: usize,
    /// Requests that wait in all lanes; never above `limit_count`.
    waiting_count: usize,
    /// Lanes in order of urgency; the background lane is last.
    lanes: BTreeMap<LaneId, Lane>,
    /// Requests taken from the most urgent lane since one was last taken from another lane.
    urgent_run_count: u32,
}

/// Position of a lane in the order of urgency: whether it is the background lane, then the rank.
type LaneId = (bool, u8);

/// Returns the lane in which a request waits.
fn lane_id(request: &GuardRequest) -> LaneId {
    match request.foreground {
        true => (false, request.rank),
        false => (true, 0),
    }
}

impl FairQueue {
    /// Creates an empty queue for at most `limit_count` requests.
    pub fn new(limit_count: usize) -> FairQueue {
        FairQueue {
            limit_count,
            waiting_count: 0,
            lanes: BTreeMap::new(),
            urgent_run_count: 0,
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting_count
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting_count == 0
    }

    /// Adds a request. A full queue sheds and returns one request of its least urgent lane, which
    /// may be the added one: the newest of the organisation with the most requests there for its
    /// weight.
    pub fn push(&mut self, request: GuardRequest) -> Option<GuardRequest> {
        let lane = self.lanes.entry(lane_id(&request)).or_default();
        lane.push(request);
        self.waiting_count += 1;
        if self.waiting_count <= self.limit_count {
            return None;
        }
        let mut lanes = self.lanes.values_mut().rev();
        let shed = lanes.find(|lane| !lane.is_empty())?.shed();
        self.waiting_count -= usize::from(shed.is_some());
        shed
    }

    /// Removes and returns the next request in turn.
    pub fn pop(&mut self) -> Option<GuardRequest> {
        let mut waiting = self.lanes.iter().filter(|(_, lane)| !lane.is_empty());
        let urgent = *waiting.next()?.0;
        let other = waiting.next_back().map(|(id, _)| *id);
        let other_due = self.urgent_run_count >= URGENT_RUN_LIMIT_COUNT;
        let from = other.filter(|_| other_due).unwrap_or(urgent);
        let taken = self.lanes.get_mut(&from)?.pop()?;
        self.waiting_count -= 1;
        self.urgent_run_count = match from == urgent {
            true => self.urgent_run_count.saturating_add(1),
            false => 0,
        };
        Some(taken)
    }

    /// Removes a request out of turn.
    pub fn remove(&mut self, key: AttemptKey) -> Option<GuardRequest> {
        self.remove_where(|request| request.key() == key)
    }

    /// Removes one request that may not wait any longer.
    pub fn pop_expired(&mut self, now: Instant) -> Option<GuardRequest> {
        self.remove_where(|request| request.waits_until() <= now)
    }

    /// Removes the first request that matches, in any lane.
    fn remove_where(&mut self, matches: impl Fn(&GuardRequest) -> bool) -> Option<GuardRequest> {
        let mut lanes = self.lanes.values_mut();
        let removed = lanes.find_map(|lane| lane.remove_where(&matches));
        self.waiting_count -= usize::from(removed.is_some());
        removed
    }

    /// Returns when the first of the waiting requests may not wait any longer.
    pub fn next_end_at(&self) -> Option<Instant> {
        self.lanes
            .values()
            .flat_map(Lane::requests)
            .map(GuardRequest::waits_until)
            .min()
    }

    /// Estimates how many waiting requests would start before this one.
    pub fn ahead_count(&self, request: &GuardRequest) -> usize {
        let own = lane_id(request);
        let ahead_of = |lane: &Lane| lane.ahead_count(request);
        let ahead = self.lanes.get(&own).map_or(0, ahead_of);
        let more_urgent: usize = self.lanes.range(..own).map(|(_, lane)| lane.len()).sum();
        let less_urgent: usize = self
            .lanes
            .range((Bound::Excluded(own), Bound::Unbounded))
            .map(|(_, lane)| lane.len())
            .sum();
        let run_count = URGENT_RUN_LIMIT_COUNT as usize;
        ahead + more_urgent.min((ahead + 1) * run_count) + less_urgent.min(ahead / run_count)
    }
}

/// Requests of one urgency, served by deficit round robin over organisations.
#[derive(Default)]
struct Lane {
    /// Waiting requests of each organisation that has any.
    queues: HashMap<OrganisationId, OrganisationQueue>,
    /// Every organisation with a waiting request, once; the one at the front has its turn.
    ring: VecDeque<OrganisationId>,
}

/// Waiting requests of one organisation in a lane.
struct OrganisationQueue {
    /// Requests in order of arrival; never empty.
    requests: VecDeque<GuardRequest>,
    /// Requests that the organisation may start in one turn; at least 1.
    weight_share: u32,
    /// Requests left in the present turn; below one weight plus the cost of a request.
    deficit: u64,
}

impl Lane {
    /// Returns whether no request waits in this lane.
    fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// Returns how many requests wait in this lane.
    fn len(&self) -> usize {
        self.queues.values().map(|queue| queue.requests.len()).sum()
    }

    /// Returns how many requests of an organisation wait in this lane.
    fn waiting_count_of(&self, organisation: &OrganisationId) -> usize {
        let queue = self.queues.get(organisation);
        queue.map_or(0, |queue| queue.requests.len())
    }

    /// Returns all waiting requests, in no particular order.
    fn requests(&self) -> impl Iterator<Item = &GuardRequest> {
        self.queues.values().flat_map(|queue| &queue.requests)
    }

    /// Queues a request behind the others of its organisation.
    fn push(&mut self, request: GuardRequest) {
        let organisation = request.organisation.clone();
        let weight_share = request.weight_share.max(1);
        if let Some(queue) = self.queues.get_mut(&organisation) {
            queue.weight_share = weight_share;
            queue.requests.push_back(request);
            return;
        }
        let queue = OrganisationQueue {
            requests: VecDeque::from([request]),
            weight_share,
            deficit: 0,
        };
        self.queues.insert(organisation.clone(), queue);
        self.ring.push_back(organisation);
    }

    /// Removes the next request in turn, and ends the turn once the deficit is used up.
    fn pop(&mut self) -> Option<GuardRequest> {
        let organisation = self.ring.front()?.clone();
        let queue = self.queues.get_mut(&organisation)?;
        if queue.deficit < REQUEST_COST {
            queue.deficit += u64::from(queue.weight_share);
        }
        queue.deficit -= REQUEST_COST;
        let taken = queue.requests.pop_front();
        let turn_over = queue.deficit < REQUEST_COST;
        if queue.requests.is_empty() {
            self.remove_organisation(&organisation);
        } else if turn_over {
            self.ring.rotate_left(1);
        }
        taken
    }

    /// Removes the newest request of the organisation with the most requests for its weight.
    fn shed(&mut self) -> Option<GuardRequest> {
        let organisation = self.most_over_share()?;
        let queue = self.queues.get_mut(&organisation)?;
        let newest = queue.requests.pop_back();
        if queue.requests.is_empty() {
            self.remove_organisation(&organisation);
        }
        newest
    }

    /// Returns the organisation with the most requests for its weight.
    fn most_over_share(&self) -> Option<OrganisationId> {
        let mut most: Option<(f64, &OrganisationId)> = None;
        for (organisation, queue) in &self.queues {
            let share = queue.requests.len() as f64 / f64::from(queue.weight_share);
            let greater = most.is_none_or(|(most_share, name)| {
                share > most_share || (share == most_share && organisation > name)
            });
            if greater {
                most = Some((share, organisation));
            }
        }
        most.map(|(_, organisation)| organisation.clone())
    }

    /// Removes the first request of this lane that matches.
    fn remove_where<F>(&mut self, matches: F) -> Option<GuardRequest>
    where
        F: Fn(&GuardRequest) -> bool,
    {
        for organisation in self.ring.clone() {
            let Some(queue) = self.queues.get_mut(&organisation) else {
                continue;
            };
            let Some(index) = queue.requests.iter().position(&matches) else {
                continue;
            };
            let removed = queue.requests.remove(index);
            if queue.requests.is_empty() {
                self.remove_organisation(&organisation);
            }
            return removed;
        }
        None
    }

    /// Estimates how many requests of this lane would start before this one.
    fn ahead_count(&self, request: &GuardRequest) -> usize {
        let own = self.waiting_count_of(&request.organisation);
        let turns = (own as f64 + 1.0) / f64::from(request.weight_share.max(1));
        let mut ahead = own;
        for (organisation, queue) in &self.queues {
            if *organisation == request.organisation {
                continue;
            }
            let share = (turns * f64::from(queue.weight_share)).ceil() as usize;
            ahead += share.min(queue.requests.len());
        }
        ahead
    }

    /// Forgets an organisation without waiting requests.
    fn remove_organisation(&mut self, organisation: &OrganisationId) {
        self.queues.remove(organisation);
        self.ring.retain(|name| name != organisation);
    }
}
