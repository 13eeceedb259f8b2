//! Decisions of the front: which organisation sends a request, which route it matches, and when its
//! answer is due.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::message::{FrontAction, FrontEvent, RequestHead};
use crate::contract::state::RouteLookup;
use crate::contract::{KeyLookup, RouteContract, ServiceContract, View};
use crate::error::ErrorKind;
use crate::routing::RequestPlan;
use crate::types::{OrganisationId, RequestId, ServiceId};

/// State from which the front decides on requests.
#[derive(Default)]
pub struct FrontState {
    /// Latest view of the configuration.
    view: Option<Arc<View>>,
    /// Whether the view is recent enough to rely on; otherwise every request is refused.
    usable: bool,
    /// Whether the daemon is stopping, so that new requests are refused.
    draining: bool,
    /// Whether `FrontAction::Drained` was returned.
    drained: bool,
    /// Number of views received so far.
    view_count: u64,
    /// Requests that wait for a token.
    waiting: HashMap<RequestId, WaitingRequest>,
}

/// A request that waits for a token.
struct WaitingRequest {
    /// The head from which the plan was made.
    head: Arc<RequestHead>,
    /// What is to be done with the request.
    plan: RequestPlan,
    /// Number of views that had been received when the plan was made.
    view_count: u64,
}

impl FrontState {
    /// Handles one event and returns the actions that follow from it.
    pub fn handle(&mut self, _now: Instant, event: FrontEvent) -> SmallVec<[FrontAction; 2]> {
        let mut actions: SmallVec<[FrontAction; 2]> =
            self.handle_event(event).into_iter().collect();
        if self.draining && !self.drained && self.waiting.is_empty() {
            self.drained = true;
            actions.push(FrontAction::Drained);
        }
        actions
    }

    /// Handles one event, without the check whether the drain is complete.
    fn handle_event(&mut self, event: FrontEvent) -> Option<FrontAction> {
        match event {
            FrontEvent::Arrived(head) => Some(self.handle_arrival(head)),
            FrontEvent::TokenGranted { request } => self.handle_grant(request),
            FrontEvent::TokenRefused {
                request,
                kind,
                retry_after,
            } => self.refuse_waiting(request, kind, retry_after),
            FrontEvent::View(view) => {
                self.view = Some(view);
                self.view_count += 1;
                None
            }
            FrontEvent::ViewUsable(usable) => {
                self.usable = usable;
                None
            }
            FrontEvent::Drain => {
                self.draining = true;
                None
            }
        }
    }

    /// Refuses a request, dispatches it, or asks for a token if an organisation sends it.
    fn handle_arrival(&mut self, head: Arc<RequestHead>) -> FrontAction {
        match self.draining {
            true => refusal(head.request, ErrorKind::Stopping),
            false => self.admit(head, None),
        }
    }

    /// Dispatches a request that has its token. If the view has changed meanwhile, key and route
    /// are looked up again.
    fn handle_grant(&mut self, request: RequestId) -> Option<FrontAction> {
        let waiting = self.waiting.remove(&request)?;
        if waiting.view_count == self.view_count || !self.usable {
            return Some(FrontAction::Dispatch(waiting.plan));
        }
        Some(self.admit(waiting.head, Some(&waiting.plan.organisation)))
    }

    /// Decides on a request for which this organisation has paid a token, if any has.
    fn admit(&mut self, head: Arc<RequestHead>, paid: Option<&OrganisationId>) -> FrontAction {
        let plan = match self.plan_request(&head) {
            Err(kind) => return refusal(head.request, kind),
            Ok(plan) => plan,
        };
        if plan.organisation.is_empty() || paid == Some(&plan.organisation) {
            return FrontAction::Dispatch(plan);
        }
        let request = head.request;
        let organisation = plan.organisation.clone();
        let waiting = WaitingRequest {
            head,
            plan,
            view_count: self.view_count,
        };
        self.waiting.insert(request, waiting);
        FrontAction::TakeToken {
            request,
            organisation,
        }
    }

    /// Matches a request with its route and organisation, or returns why it is refused.
    fn plan_request(&self, head: &RequestHead) -> Result<RequestPlan, ErrorKind> {
        let view = self.view.as_ref().filter(|_| self.usable);
        let view = view.ok_or(ErrorKind::NoView)?;
        let path = head.target.split('?').next().unwrap_or_default();
        let (service, route) = match view.route(&head.host, &head.method, path) {
            RouteLookup::Found(service, route) => (service, route),
            RouteLookup::OtherMethod => return Err(ErrorKind::MethodUnknown),
            RouteLookup::Unknown => return Err(ErrorKind::RouteUnknown),
        };
        let (organisation, weight_share, rank) = self.authorise(view, head, route)?;
        let body_limit_bytes = match view.limits.body_limit_bytes {
            0 => route.body_limit_bytes,
            limit_bytes => limit_bytes.min(route.body_limit_bytes),
        };
        if head.body_bytes > body_limit_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        let longest = Duration::from_millis(route.deadline_ms);
        let deadline = head.deadline.unwrap_or(longest).min(longest);
        Ok(RequestPlan {
            request: head.request,
            organisation,
            weight_share,
            service: pick_split_service(head.request, service, route),
            route: route.route.clone(),
            repeatable: route.repeatable,
            foreground: route.foreground,
            rank: match route.open {
                true => OPEN_ROUTE_RANK,
                false => rank
                    .unwrap_or(route.rank)
                    .saturating_add(OPEN_ROUTE_RANK + 1),
            },
            attempts_limit_count: route.attempts_limit_count,
            body_bytes: head.body_bytes,
            body_limit_bytes: route.body_limit_bytes,
            idempotency_key: head.idempotency_key.clone(),
            target: Duration::from_millis(route.target_ms),
            deadline_at: head.arrived_at + deadline,
        })
    }

    /// Returns the organisation of the API key with its weight and rank, if it may use the route.
    fn authorise(
        &self,
        view: &View,
        head: &RequestHead,
        route: &RouteContract,
    ) -> Result<(OrganisationId, u32, Option<u8>), ErrorKind> {
        if route.open {
            return Ok(("".into(), 1, None));
        }
        let key_hash = head.key_hash.as_ref().ok_or(ErrorKind::KeyMissing)?;
        let organisation = match view.key(key_hash) {
            KeyLookup::Granted(organisation) => organisation,
            KeyLookup::Withdrawn => return Err(ErrorKind::KeyWithdrawn),
            KeyLookup::Unknown => return Err(ErrorKind::KeyUnknown),
        };
        let contract = view
            .organisations
            .get(&organisation)
            .ok_or(ErrorKind::RouteForbidden)?;
        if !contract.all_routes && !contract.routes.contains(&route.route) {
            return Err(ErrorKind::RouteForbidden);
        }
        Ok((organisation, contract.weight_share, contract.rank))
    }

    /// Refuses a request that waited for its token.
    fn refuse_waiting(
        &mut self,
        request: RequestId,
        kind: ErrorKind,
        retry_after: Duration,
    ) -> Option<FrontAction> {
        self.waiting.remove(&request)?;
        Some(FrontAction::Refuse {
            request,
            kind,
            retry_after: Some(retry_after),
        })
    }
}

/// Returns the refusal of a request for which no time to retry is known.
fn refusal(request: RequestId, kind: ErrorKind) -> FrontAction {
    FrontAction::Refuse {
        request,
        kind,
        retry_after: None,
    }
}

/// Rank of requests on open routes. Backend servers call each other on these routes, and a request
/// that waits for such a call holds a slot.
const OPEN_ROUTE_RANK: u8 = 0;

/// Picks the service that takes a request by the weights of its route; the random part of the
/// request id serves as the random number.
fn pick_split_service(
    request: RequestId,
    service: &ServiceContract,
    route: &RouteContract,
) -> ServiceId {
    let weights = route.split.iter().map(|part| u128::from(part.weight_share));
    let total: u128 = weights.sum();
    if total == 0 {
        return service.service.clone();
    }
    let mut position = (request & REQUEST_ID_RANDOM_MASK) % total;
    for part in &route.split {
        let weight = u128::from(part.weight_share);
        if position < weight {
            return part.service.clone();
        }
        position -= weight;
    }
    service.service.clone()
}

/// Bits of a request id that are random.
const REQUEST_ID_RANDOM_MASK: u128 = (1 << 60) - 1;
