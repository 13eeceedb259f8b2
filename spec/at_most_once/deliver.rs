//! Effects of messages that arrive, and of the events and actions of guards and homes.

use std::time::Duration;

use banyanbeam::error::Ran;
use banyanbeam::guard::message::{AttemptKey, GuardRequest, ServerOutcome};
use banyanbeam::guard::{GuardAction, GuardEvent};
use banyanbeam::idempotency::IdempotencyEvent;
use banyanbeam::link::{ClaimAnswer, ClaimRequest, ClaimStep, FenceAnswer, FenceRequest};
use banyanbeam::routing::{AttemptOutcome, RoutingEvent};
use banyanbeam::types::RequestId;
use banyanbeam::wire::forward::AttemptTerms;

use super::daemon::idempotency_key;
use super::mutation::Mutation;
use super::step::{fence_answer, Message};

use super::world::{World, CLAIM_MS, NOW};

impl World {
    /// Delivers a message and removes it from the network.
    pub fn deliver(&mut self, message: &Message) {
        self.in_flight.remove(message);
        self.receive(message);
        self.drop_unawaited();
    }

    /// Drops answers that no entry awaits any more.
    pub fn drop_unawaited(&mut self) {
        let open = &self.awaiting;
        let awaited = |wanted: &dyn Fn(usize, &Message) -> bool| {
            open.iter().any(|(owner, message)| wanted(*owner, message))
        };
        self.in_flight.retain(|message| match message {
            Message::Answer {
                entry,
                request,
                attempt,
                ..
            } => awaited(&|owner, open| {
                owner == *entry
                    && matches!(open, Message::Attempt { request: r, attempt: a, .. }
                        if (r, a) == (request, attempt))
            }),
            Message::Fenced { entry, request, .. } => awaited(&|owner, open| {
                owner == *entry && matches!(open, Message::Fence { request: r, .. } if r == request)
            }),
            Message::Claimed { entry, request, .. } => awaited(&|owner, open| {
                owner == *entry && matches!(open, Message::Claim { request: r, .. } if r == request)
            }),
            _ => true,
        });
    }

    /// Handles a message at its recipient.
    pub fn receive(&mut self, message: &Message) {
        match message {
            Message::Attempt {
                entry,
                guard,
                incarnation,
                request,
                attempt,
            } => {
                self.handle_attempt(*entry, *guard, *incarnation, (*request, *attempt));
            }
            Message::Answer {
                entry,
                request,
                attempt,
                kind,
            } => {
                if !self.stop_awaiting(*entry, *request, *attempt) {
                    return;
                }
                let outcome = match kind {
                    None => AttemptOutcome::Answered(Default::default()),
                    Some(kind) if kind.ran() == Ran::No => AttemptOutcome::NotRun {
                        kind: *kind,
                        retry_after: None,
                        by_guard: true,
                    },
                    Some(kind) => AttemptOutcome::Unknown {
                        kind: *kind,
                        by_guard: true,
                    },
                };
                self.end_attempt(*entry, *request, *attempt, outcome);
            }
            Message::Fence {
                entry,
                guard,
                incarnation,
                request,
                attempt,
            } => {
                let incarnation = match self.mutation {
                    Mutation::FenceIgnoresIncarnation => self.daemons[*guard].incarnation(),
                    _ => *incarnation,
                };
                let fence = FenceRequest {
                    request: *request,
                    attempt: *attempt,
                    incarnation,
                };
                self.handle_guard(*guard, GuardEvent::Fence(fence), Some(*entry));
            }
            Message::Fenced {
                entry,
                request,
                attempt,
                answer,
            } => {
                let awaited = self.awaiting.iter().find(|(owner, open)| {
                    owner == entry && matches!(open, Message::Fence { request: r, attempt: a, .. } if (r, a) == (request, attempt))
                });
                let Some(awaited) = awaited.cloned() else {
                    return;
                };
                self.awaiting.remove(&awaited);
                let answer = Some(fence_answer(answer));
                let event = RoutingEvent::Fenced {
                    request: *request,
                    attempt: *attempt,
                    answer,
                };
                self.handle_routing(*entry, event);
            }
            Message::Claim {
                entry,
                home,
                request,
                release,
            } => {
                self.handle_claim(*entry, *home, *request, *release);
            }
            Message::Claimed {
                entry,
                request,
                granted,
                taken,
            } => {
                let awaited = self.awaiting.iter().find(|(owner, open)| {
                    owner == entry
                        && matches!(open, Message::Claim { request: r, .. } if r == request)
                });
                let Some(awaited) = awaited.cloned() else {
                    return;
                };
                self.awaiting.remove(&awaited);
                let answer = match (granted, taken) {
                    (true, _) => ClaimAnswer::Granted,
                    (_, true) => ClaimAnswer::Taken { by: 0 },
                    _ => ClaimAnswer::Unknown,
                };
                self.handle_routing(
                    *entry,
                    RoutingEvent::Claimed {
                        request: *request,
                        answer: Some(answer),
                    },
                );
            }
        }
    }

    /// Hands an attempt to a guard.
    pub fn handle_attempt(
        &mut self,
        entry: usize,
        guard: usize,
        incarnation: u64,
        key: AttemptKey,
    ) {
        let incarnation = match self.mutation {
            Mutation::RequestIgnoresIncarnation => self.daemons[guard].incarnation(),
            _ => incarnation,
        };
        self.daemons[guard].senders.entry(key).or_insert(entry);
        self.daemons[guard].arriving_from = entry;
        let request = GuardRequest {
            request: key.0,
            attempt: key.1,
            incarnation,
            organisation: "o".into(),
            weight_share: 1,
            service: "".into(),
            route: "r".into(),
            server: format!("s{guard}").as_str().into(),
            repeatable: false,
            foreground: true,
            rank: 0,
            terms: AttemptTerms {
                may_probe: true,
                ..Default::default()
            },
            fingerprint: [0; 32],
            arrived_at: *NOW,
            deadline_at: *NOW + Duration::from_secs(10),
            hung_after: None,
        };
        self.handle_guard(guard, GuardEvent::Arrived(request), None);
    }

    /// Ends a run at a server, and answers its entry.
    pub fn end_run(&mut self, daemon: usize, key: AttemptKey) {
        self.daemons[daemon].running.remove(&key);
        let entry = self.daemons[daemon].senders[&key];
        self.in_flight.insert(Message::Answer {
            entry,
            request: key.0,
            attempt: key.1,
            kind: None,
        });
        let event = GuardEvent::Finished {
            key,
            outcome: ServerOutcome::Answered(200),
            elapsed: Duration::from_millis(1),
        };
        self.handle_guard(daemon, event, None);
    }

    /// Passes an event to a guard and carries out its actions.
    pub fn handle_guard(&mut self, index: usize, event: GuardEvent, asker: Option<usize>) {
        let fence = match &event {
            GuardEvent::Fence(fence) => Some(fence.clone()),
            _ => None,
        };
        let event_key = match &event {
            GuardEvent::Arrived(request) => Some(request.key()),
            _ => None,
        };
        let daemon = &mut self.daemons[index];
        daemon.record_event(&event);
        for action in daemon.guard.handle(*NOW, event) {
            match action {
                GuardAction::Start { key, .. } => {
                    daemon.expected_record.insert(key, "running");
                    daemon.running.insert(key);
                    *self.run_counts.entry(key.0).or_default() += 1;
                }
                GuardAction::Refuse { key, kind, .. } => {
                    let waited = daemon.expected_record.get(&key) == Some(&"waiting");
                    if waited && kind.ran() == Ran::No {
                        daemon.expected_record.remove(&key);
                    }
                    let (request, attempt) = key;
                    let entry = if event_key == Some(key) {
                        daemon.arriving_from
                    } else {
                        daemon.senders[&key]
                    };
                    self.in_flight.insert(Message::Answer {
                        entry,
                        request,
                        attempt,
                        kind: Some(kind),
                    });
                }
                GuardAction::FenceAnswered(answer) => {
                    let (Some(entry), Some(fence)) = (asker, &fence) else {
                        continue;
                    };
                    let lies =
                        self.mutation == Mutation::FenceLies && answer != FenceAnswer::Unknown;
                    let answer = if lies { FenceAnswer::Fenced } else { answer };
                    self.in_flight.insert(Message::Fenced {
                        entry,
                        request: fence.request,
                        attempt: fence.attempt,
                        answer: format!("{answer:?}"),
                    });
                }
                _ => {}
            }
        }
    }

    /// Takes or releases the idempotency key at a home.
    pub fn handle_claim(&mut self, entry: usize, home: usize, request: RequestId, release: bool) {
        let step = if release {
            ClaimStep::Release
        } else {
            ClaimStep::Take
        };
        let claim = ClaimRequest {
            step,
            organisation: "o".into(),
            idempotency_key: idempotency_key(),
            request,
        };
        let daemon = &mut self.daemons[home];
        let answer = daemon
            .home
            .handle(*NOW, CLAIM_MS, IdempotencyEvent::Claim(claim));
        if release {
            if daemon.key_held_by == Some(request) {
                daemon.key_held_by = None;
            }
            return;
        }
        let granted = answer == Some(ClaimAnswer::Granted);
        let taken = matches!(answer, Some(ClaimAnswer::Taken { .. }));
        if granted {
            daemon.key_held_by = Some(request);
        }
        self.in_flight.insert(Message::Claimed {
            entry,
            request,
            granted,
            taken,
        });
    }
}
