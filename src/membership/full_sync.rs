//! Full sync: fetches the whole fleet page by page from several peers, at the start of a daemon and
//! again where so much is missing that pages cost less than gossip.

use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;

use super::budget::entry_bytes;
use super::gossip::CallPurpose;
use super::message::{CallTarget, MembersAnswer, MembersRequest};
use super::state::MembershipState;
use crate::link::{LinkError, PeerAnswer, PeerRequest};
use crate::types::DaemonId;

/// Progress of a full sync.
#[derive(Debug)]
pub(super) struct FullSync {
    /// Last daemon of the pages received so far; empty at first.
    after: DaemonId,
    /// When the next page is requested.
    next_page_at: Instant,
    /// Whether a page was requested and not answered yet.
    is_page_requested: bool,
}

/// Missing descriptions from which on a full sync is started again.
const MUCH_MISSING_COUNT: usize = 32;
/// Least time between the starts of two repeated full syncs.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// While a page is requested, its answer drives the sync, so the next tick is this far off.
const PAGE_WAIT: Duration = Duration::from_secs(60);

impl FullSync {
    pub(super) fn new(now: Instant) -> FullSync {
        FullSync {
            after: "".into(),
            next_page_at: now,
            is_page_requested: false,
        }
    }

    /// Returns when the sync needs a tick next.
    pub(super) fn next_at(&self) -> Instant {
        match self.is_page_requested {
            true => self.next_page_at + PAGE_WAIT,
            false => self.next_page_at,
        }
    }
}

impl MembershipState {
    /// Starts a new full sync, unless one is running or the last one was started too recently.
    pub(super) fn restart_full_sync(&mut self, now: Instant) {
        if self.full_sync.is_some() || now < self.full_sync_allowed_at {
            return;
        }
        self.full_sync_allowed_at = now + FULL_SYNC_INTERVAL;
        self.full_sync = Some(FullSync::new(now));
        self.count("membership.view.again");
    }

    /// Requests the next page if it is due; starts a full sync if much is missing.
    pub(super) fn request_page(&mut self, now: Instant) {
        if self.missing.len() >= MUCH_MISSING_COUNT {
            self.restart_full_sync(now);
        }
        let wait_ms = self.settings.page_ms;
        let target = self.page_target();
        let next_at = self.later(now, wait_ms);
        let Some(full_sync) = &mut self.full_sync else {
            return;
        };
        if now < full_sync.next_at() {
            return;
        }
        full_sync.next_page_at = next_at;
        let Some(target) = target else {
            return;
        };
        full_sync.is_page_requested = true;
        let request = PeerRequest::Members(MembersRequest {
            after: full_sync.after.clone(),
            limit_bytes: self.settings.page_bytes,
        });
        self.call(now, target, CallPurpose::Page, request);
    }

    /// Returns a random partner, so that the load of the pages is spread, or a random seed if there
    /// is no partner.
    fn page_target(&mut self) -> Option<CallTarget> {
        if let Some(partner) = self.partners.iter().choose(&mut self.random) {
            return Some(CallTarget::Daemon(partner.clone()));
        }
        let seeds = self.settings.seed_addresses.iter();
        let seed = seeds.choose(&mut self.random);
        seed.map(|address| CallTarget::Seed(*address))
    }

    /// Merges a received page and schedules the next request; a failed call is retried.
    pub(super) fn handle_page(&mut self, now: Instant, result: Result<PeerAnswer, LinkError>) {
        let next_page_at = self.later(now, self.settings.page_ms);
        if let Some(full_sync) = &mut self.full_sync {
            full_sync.is_page_requested = false;
            full_sync.next_page_at = next_page_at;
        }
        let Ok(PeerAnswer::Members(page)) = result else {
            return;
        };
        self.merge_news(now, &page.summaries, &[], page.entries);
        match page.complete {
            true => self.full_sync = None,
            false => {
                if let Some(full_sync) = &mut self.full_sync {
                    full_sync.after = page.next;
                }
            }
        }
    }

    /// Returns the requested page of descriptions, or `None` while the page budget is spent.
    pub(super) fn answer_page(
        &mut self,
        now: Instant,
        request: &MembersRequest,
    ) -> Option<PeerAnswer> {
        let limit_bytes = request.limit_bytes.min(self.settings.page_bytes) as usize;
        if self.page_budget.left_bytes(now) < limit_bytes {
            self.count("membership.page.refused");
            return None;
        }
        let mut page = MembersAnswer {
            summaries: Vec::new(),
            entries: Vec::new(),
            next: request.after.clone(),
            complete: true,
        };
        let mut bytes = 0;
        for member in self.members.after(&request.after) {
            if bytes >= limit_bytes {
                page.complete = false;
                break;
            }
            bytes += entry_bytes(&member.entry);
            page.summaries.push(member.summary());
            page.entries.push(member.entry.clone());
            page.next = member.entry.daemon.clone();
        }
        self.page_budget.spend(bytes);
        Some(PeerAnswer::Members(page))
    }
}
