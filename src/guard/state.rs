//! Decisions of the guard: which request starts, waits or is refused.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::message::{Announcement, GuardAction, GuardEvent, GuardRequest};
use crate::error::ErrorKind;
use crate::membership::{ServerEntry, FULL_SHARE_PERMILLE};
use crate::settings::guard::GuardSettings;
use crate::types::{BackendServerId, RequestId};

/// State of the guard.
pub struct GuardState {
    settings: GuardSettings,
    servers: BTreeMap<BackendServerId, ServerState>,
    /// The server of each request that runs.
    running: HashMap<RequestId, BackendServerId>,
    draining: bool,
}

struct ServerState {
    announcement: Announcement,
    renewed_at: Instant,
    /// Never above the slots of the announcement.
    running_count: u32,
    /// Never longer than the settings' queue.
    queue: VecDeque<GuardRequest>,
}

impl GuardState {
    /// A guard that knows no server yet.
    pub fn new(settings: GuardSettings) -> GuardState {
        GuardState {
            settings,
            servers: BTreeMap::new(),
            running: HashMap::new(),
            draining: false,
        }
    }

    /// When `Tick` is due next.
    pub fn next_tick_at(&self) -> Option<Instant> {
        self.servers
            .values()
            .map(|server| server.renewed_at + self.ttl())
            .min()
    }

    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, now: Instant, event: GuardEvent) -> Vec<GuardAction> {
        match event {
            GuardEvent::Arrived(request) => vec![self.arrived(now, request)]
                .into_iter()
                .flatten()
                .collect(),
            GuardEvent::Finished { request, .. } => self.finished(now, request),
            GuardEvent::Announced(announcement) => self.announced(now, announcement),
            GuardEvent::Withdrawn(server) => self.remove(&server),
            GuardEvent::Tick => self.tick(now),
            GuardEvent::Drain => {
                self.draining = true;
                vec![self.report()]
            }
        }
    }

    fn ttl(&self) -> Duration {
        Duration::from_millis(self.settings.announcement_ttl_ms)
    }

    fn arrived(&mut self, now: Instant, request: GuardRequest) -> Option<GuardAction> {
        let id = request.request;
        let refuse = |kind| Some(GuardAction::Refuse { request: id, kind });
        if self.draining {
            return refuse(ErrorKind::Stopping);
        }
        if now >= request.deadline_at {
            return refuse(ErrorKind::DeadlineUnmeetable);
        }
        let limit = self.settings.queue_count;
        let Some(server) = self.servers.get_mut(&request.server) else {
            return refuse(ErrorKind::NoServer);
        };
        if server.announcement.draining {
            return refuse(ErrorKind::NoServer);
        }
        if server.running_count < server.announcement.slots_count {
            server.running_count += 1;
            self.running.insert(id, request.server.clone());
            return Some(GuardAction::Start {
                request: id,
                address: server.announcement.address,
            });
        }
        if server.queue.len() >= limit {
            return refuse(ErrorKind::Busy);
        }
        server.queue.push_back(request);
        None
    }

    fn finished(&mut self, now: Instant, request: RequestId) -> Vec<GuardAction> {
        let Some(name) = self.running.remove(&request) else {
            return Vec::new();
        };
        let Some(server) = self.servers.get_mut(&name) else {
            return Vec::new();
        };
        server.running_count = server.running_count.saturating_sub(1);
        let mut actions = Vec::new();
        while server.running_count < server.announcement.slots_count {
            let Some(next) = server.queue.pop_front() else {
                break;
            };
            if now >= next.deadline_at {
                let kind = ErrorKind::DeadlineUnmeetable;
                actions.push(GuardAction::Refuse {
                    request: next.request,
                    kind,
                });
                continue;
            }
            server.running_count += 1;
            self.running.insert(next.request, name.clone());
            actions.push(GuardAction::Start {
                request: next.request,
                address: server.announcement.address,
            });
        }
        actions
    }

    fn announced(&mut self, now: Instant, announcement: Announcement) -> Vec<GuardAction> {
        let name = announcement.server.clone();
        let before = self.entries();
        match self.servers.get_mut(&name) {
            Some(server) => {
                server.announcement = announcement;
                server.renewed_at = now;
            }
            None => {
                let queue = VecDeque::new();
                let state = ServerState {
                    announcement,
                    renewed_at: now,
                    running_count: 0,
                    queue,
                };
                self.servers.insert(name, state);
            }
        }
        if self.entries() == before {
            return Vec::new();
        }
        vec![self.report()]
    }

    fn remove(&mut self, name: &BackendServerId) -> Vec<GuardAction> {
        let Some(server) = self.servers.remove(name) else {
            return Vec::new();
        };
        let mut actions = vec![self.report()];
        for waiting in server.queue {
            actions.push(GuardAction::Refuse {
                request: waiting.request,
                kind: ErrorKind::NoServer,
            });
        }
        actions
    }

    fn tick(&mut self, now: Instant) -> Vec<GuardAction> {
        let ttl = self.ttl();
        let mut lapsed = Vec::new();
        for (name, server) in &self.servers {
            if now.saturating_duration_since(server.renewed_at) >= ttl {
                lapsed.push(name.clone());
            }
        }
        lapsed.iter().flat_map(|name| self.remove(name)).collect()
    }

    fn entries(&self) -> Vec<ServerEntry> {
        let entry = |server: &ServerState| ServerEntry {
            server: server.announcement.server.clone(),
            service: server.announcement.service.clone(),
            slots_count: server.announcement.slots_count,
            cold: server.announcement.cold,
            draining: server.announcement.draining || self.draining,
            share_permille: FULL_SHARE_PERMILLE,
        };
        self.servers.values().map(entry).collect()
    }

    fn report(&self) -> GuardAction {
        GuardAction::Servers(self.entries())
    }
}
