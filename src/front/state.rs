//! Decisions of the front: who asks, for which route, and by when.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::message::{FrontAction, FrontEvent, RequestHead};
use crate::contract::state::RouteAnswer;
use crate::contract::{KeyAnswer, RouteContract, View};
use crate::error::ErrorKind;
use crate::routing::RequestPlan;
use crate::types::{OrganisationId, RequestId};

/// State of the front.
#[derive(Default)]
pub struct FrontState {
    view: Option<Arc<View>>,
    /// Whether the view may be relied on; without it every request is refused.
    usable: bool,
    draining: bool,
    /// Whether `Drained` was said.
    drained: bool,
    /// Requests that wait for their token.
    waiting: HashMap<RequestId, RequestPlan>,
}

impl FrontState {
    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, _now: Instant, event: FrontEvent) -> SmallVec<[FrontAction; 2]> {
        let mut actions: SmallVec<[FrontAction; 2]> = self.decide(event).into_iter().collect();
        if self.draining && !self.drained && self.waiting.is_empty() {
            self.drained = true;
            actions.push(FrontAction::Drained);
        }
        actions
    }

    fn decide(&mut self, event: FrontEvent) -> Option<FrontAction> {
        match event {
            FrontEvent::Arrived(head) => Some(self.arrived(&head)),
            FrontEvent::Granted { request } => {
                self.waiting.remove(&request).map(FrontAction::Dispatch)
            }
            FrontEvent::Limited {
                request,
                kind,
                retry_after,
            } => self.limited(request, kind, retry_after),
            FrontEvent::View(view) => {
                self.view = Some(view);
                None
            }
            FrontEvent::Usable(usable) => {
                self.usable = usable;
                None
            }
            FrontEvent::Drain => {
                self.draining = true;
                None
            }
        }
    }

    fn arrived(&mut self, head: &RequestHead) -> FrontAction {
        match self.plan(head) {
            Err(kind) => FrontAction::Refuse {
                request: head.request,
                kind,
                retry_after: None,
            },
            Ok(plan) if plan.organisation.is_empty() => FrontAction::Dispatch(plan),
            Ok(plan) => {
                let organisation = plan.organisation.clone();
                self.waiting.insert(head.request, plan);
                FrontAction::Take {
                    request: head.request,
                    organisation,
                }
            }
        }
    }

    fn plan(&self, head: &RequestHead) -> Result<RequestPlan, ErrorKind> {
        if self.draining {
            return Err(ErrorKind::Stopping);
        }
        let view = self.view.as_ref().filter(|_| self.usable);
        let view = view.ok_or(ErrorKind::NoView)?;
        let path = head.target.split('?').next().unwrap_or_default();
        let (service, route) = match view.route(&head.method, path) {
            RouteAnswer::Found(service, route) => (service, route),
            RouteAnswer::OtherMethod => return Err(ErrorKind::MethodUnknown),
            RouteAnswer::Unknown => return Err(ErrorKind::RouteUnknown),
        };
        let (organisation, weight_share) = self.organisation(view, head, route)?;
        if head.body_bytes > route.body_limit_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        let longest = Duration::from_millis(route.deadline_ms);
        let deadline = head.deadline.unwrap_or(longest).min(longest);
        Ok(RequestPlan {
            request: head.request,
            organisation,
            weight_share,
            service: service.service.clone(),
            route: route.route.clone(),
            repeatable: route.repeatable,
            foreground: route.foreground,
            body_limit_bytes: route.body_limit_bytes,
            idempotency_key: head.idempotency_key.clone(),
            deadline_at: head.arrived_at + deadline,
        })
    }

    fn organisation(
        &self,
        view: &View,
        head: &RequestHead,
        route: &RouteContract,
    ) -> Result<(OrganisationId, u32), ErrorKind> {
        if route.open {
            return Ok(("".into(), 1));
        }
        let key_hash = head.key_hash.as_ref().ok_or(ErrorKind::KeyMissing)?;
        let organisation = match view.key(key_hash) {
            KeyAnswer::Granted(organisation) => organisation,
            KeyAnswer::Withdrawn => return Err(ErrorKind::KeyWithdrawn),
            KeyAnswer::Unknown => return Err(ErrorKind::KeyUnknown),
        };
        let contract = view
            .organisations
            .get(&organisation)
            .ok_or(ErrorKind::RouteForbidden)?;
        if !contract.routes.contains(&route.route) {
            return Err(ErrorKind::RouteForbidden);
        }
        Ok((organisation, contract.weight_share))
    }

    fn limited(
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
