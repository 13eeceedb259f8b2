//! Decisions of the quota: which requests get a token, and what is lent to peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::entry_quota::EntryQuota;
use super::message::{CallId, Loan, QuotaAction, QuotaEvent};
use crate::allowance::bucket::Bucket;
use crate::contract::{OrganisationContract, View};
use crate::error::ErrorKind;
use crate::idempotency::home::claim_key;
use crate::idempotency::HomeMap;
use crate::membership::Fleet;
use crate::settings::quota::QuotaSettings;
use crate::types::{DaemonId, OrganisationId, RequestId};

/// State of the quota at one daemon, both as an entry and as the home of organisations.
pub struct QuotaState {
    /// Loan time, patience and fallback share, as read at the start.
    settings: QuotaSettings,
    /// Id of this daemon.
    own_daemon: DaemonId,
    /// The view in force, with the contracts of organisations.
    view: Arc<View>,
    /// The home of each organisation in the present fleet.
    homes: HomeMap,
    /// As an entry: borrowed tokens and waiting requests of each organisation.
    entry_quotas: HashMap<OrganisationId, EntryQuota>,
    /// As a home: the token bucket of each organisation.
    buckets: HashMap<OrganisationId, HomeBucket>,
    /// While the home can't be reached: this daemon's own share of the rate.
    fallbacks: HashMap<OrganisationId, Bucket>,
}

/// The token bucket of an organisation whose home this daemon is.
struct HomeBucket {
    /// Tokens that may be granted or lent now.
    bucket: Bucket,
    /// Rate a second and burst that the bucket is sized for.
    rate_and_burst: (f64, u32),
}

impl QuotaState {
    /// Creates the quota of the daemon `own_daemon`, without contracts or fleet.
    pub fn new(settings: QuotaSettings, own_daemon: DaemonId) -> QuotaState {
        QuotaState {
            settings,
            own_daemon,
            view: Arc::default(),
            homes: HomeMap::default(),
            entry_quotas: HashMap::new(),
            buckets: HashMap::new(),
            fallbacks: HashMap::new(),
        }
    }

    /// Applies one event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: QuotaEvent) -> Vec<QuotaAction> {
        match event {
            QuotaEvent::Take {
                request,
                organisation,
            } => self.take(now, request, &organisation),
            QuotaEvent::Borrow {
                call,
                organisation,
                count,
            } => vec![self.lend(now, call, &organisation, count)],
            QuotaEvent::Borrowed { organisation, loan } => self.borrowed(now, &organisation, loan),
            QuotaEvent::Tick => self.ask_due_homes(now),
            QuotaEvent::View(view) => {
                self.view = view;
                self.update_home_buckets(now);
                Vec::new()
            }
            QuotaEvent::Fleet(fleet) => {
                self.update_fleet(now, &fleet);
                Vec::new()
            }
        }
    }

    /// Replaces the homes if the fleet has changed them.
    fn update_fleet(&mut self, now: Instant, fleet: &Fleet) {
        let homes = HomeMap::new(fleet);
        if homes == self.homes {
            return;
        }
        self.homes = homes;
        self.fallbacks.clear();
        self.update_home_buckets(now);
    }

    /// Creates a bucket for every organisation whose home this daemon has become, and drops those
    /// whose home it no longer is.
    fn update_home_buckets(&mut self, now: Instant) {
        let view = self.view.clone();
        let mut kept = HashMap::new();
        for contract in view.organisations.values() {
            if contract.unlimited || !self.is_home(&contract.organisation) {
                continue;
            }
            let terms = (contract.rate_per_s, contract.burst_count);
            let held = self.buckets.remove(&contract.organisation);
            // This daemon does not know what the previous home lent, so a new bucket is empty.
            let mut bucket = held.unwrap_or_else(|| HomeBucket {
                bucket: Bucket::empty(now, terms.0, f64::from(terms.1)),
                rate_and_burst: terms,
            });
            if bucket.rate_and_burst != terms {
                bucket.bucket.resize(now, terms.0, f64::from(terms.1));
                bucket.rate_and_burst = terms;
            }
            kept.insert(contract.organisation.clone(), bucket);
        }
        self.buckets = kept;
    }

    /// Returns whether this daemon is the home of an organisation.
    fn is_home(&self, organisation: &OrganisationId) -> bool {
        self.home(organisation) == Some(&self.own_daemon)
    }

    /// Returns the home of an organisation; none in an empty fleet.
    fn home(&self, organisation: &OrganisationId) -> Option<&DaemonId> {
        self.homes.home(&claim_key(organisation, ""))
    }

    /// Returns the contract of an organisation if it limits the rate.
    fn limited_contract(&self, organisation: &OrganisationId) -> Option<Arc<OrganisationContract>> {
        let contract = self.view.organisations.get(organisation)?;
        (!contract.unlimited).then(|| contract.clone())
    }

    /// Takes a token for a request, locally if possible; otherwise the request waits for the home.
    fn take(
        &mut self,
        now: Instant,
        request: RequestId,
        organisation: &OrganisationId,
    ) -> Vec<QuotaAction> {
        if self.limited_contract(organisation).is_none() {
            return vec![QuotaAction::Grant { request }];
        }
        let home = self.home(organisation).cloned();
        if home.as_ref() == Some(&self.own_daemon) {
            return vec![self.take_at_home(now, request, organisation)];
        }
        let quota = self.entry_quotas.entry(organisation.clone()).or_default();
        if quota.take(now) {
            return vec![QuotaAction::Grant { request }];
        }
        quota.wait(now, request);
        if quota.ask_at.is_some() {
            return Vec::new();
        }
        self.ask_home(now, organisation, home)
    }

    /// Takes a token for a request from this daemon's own bucket, as the home.
    fn take_at_home(
        &mut self,
        now: Instant,
        request: RequestId,
        organisation: &OrganisationId,
    ) -> QuotaAction {
        let taken = match self.buckets.get_mut(organisation) {
            Some(held) => held.bucket.take(now, 1.0),
            None => Err(self.loan_time()),
        };
        match taken {
            Ok(()) => QuotaAction::Grant { request },
            Err(retry_after) => QuotaAction::Refuse {
                request,
                kind: ErrorKind::RateExceeded,
                retry_after,
            },
        }
    }

    /// Asks the home for tokens unless it is already being asked.
    fn ask_home(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        home: Option<DaemonId>,
    ) -> Vec<QuotaAction> {
        let Some(home) = home else {
            return self.fall_back(now, organisation);
        };
        let loan_time = self.loan_time();
        let Some(quota) = self.entry_quotas.get_mut(organisation) else {
            return Vec::new();
        };
        if quota.asking {
            return Vec::new();
        }
        vec![QuotaAction::Borrow {
            to: home,
            organisation: organisation.clone(),
            count: quota.prepare_request(loan_time),
        }]
    }

    /// Handles the home's answer: grants waiting requests, and asks again for or refuses the rest.
    fn borrowed(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        loan: Option<Loan>,
    ) -> Vec<QuotaAction> {
        let loan_time = self.loan_time();
        let Some(quota) = self.entry_quotas.get_mut(organisation) else {
            return Vec::new();
        };
        quota.asking = false;
        let Some(loan) = loan else {
            return self.fall_back(now, organisation);
        };
        let granted = quota.receive_loan(now, loan.count, loan_time);
        let mut actions: Vec<QuotaAction> = granted
            .into_iter()
            .map(|request| QuotaAction::Grant { request })
            .collect();
        if !quota.has_waiting() {
            return actions;
        }
        // Requests that came while the home was asked may still get a token. If the loan was short,
        // the home has no more for them.
        if loan.count > 0 && !quota.is_home_short() {
            let home = self.home(organisation).cloned();
            actions.extend(self.ask_home(now, organisation, home));
            return actions;
        }
        let refused = quota.take_all_waiting().into_iter();
        actions.extend(refused.map(|request| QuotaAction::Refuse {
            request,
            kind: ErrorKind::RateExceeded,
            retry_after: loan.retry_after.max(loan_time),
        }));
        actions
    }

    /// Serves waiting requests from this daemon's own share of the rate. The others wait a little
    /// for the home to come back, or for another home.
    fn fall_back(&mut self, now: Instant, organisation: &OrganisationId) -> Vec<QuotaAction> {
        let mut actions = vec![QuotaAction::Count("quota.home.unreachable")];
        let contract = self.limited_contract(organisation);
        let daemon_count = self.homes.daemons().count().max(1) as f64;
        let part = self.settings.fallback_share / daemon_count;
        let patience = Duration::from_millis(self.settings.home_patience_ms);
        let Some(quota) = self.entry_quotas.get_mut(organisation) else {
            return actions;
        };
        let Some(contract) = contract else {
            let granted = quota.take_all_waiting().into_iter();
            actions.extend(granted.map(|request| QuotaAction::Grant { request }));
            return actions;
        };
        let bucket = self
            .fallbacks
            .entry(organisation.clone())
            .or_insert_with(|| Bucket::full(now, contract.rate_per_s * part, 1.0));
        while let Some((since, request)) = quota.oldest_waiting() {
            let taken = bucket.take(now, 1.0);
            let may_keep_waiting = now.saturating_duration_since(since) < patience;
            actions.push(match taken {
                Ok(()) => QuotaAction::Grant { request },
                Err(_) if may_keep_waiting => break,
                Err(retry_after) => QuotaAction::Refuse {
                    request,
                    kind: ErrorKind::AllowanceUnreachable,
                    retry_after,
                },
            });
            quota.take_oldest_waiting();
        }
        if quota.has_waiting() {
            quota.ask_at = Some(now + HOME_RETRY_INTERVAL);
        }
        actions
    }

    /// Returns when the next `Tick` is due; none while no home is to be asked again.
    pub fn next_tick_at(&self) -> Option<Instant> {
        self.entry_quotas
            .values()
            .filter_map(|quota| quota.ask_at)
            .min()
    }

    /// Asks again the homes that did not answer and are due.
    fn ask_due_homes(&mut self, now: Instant) -> Vec<QuotaAction> {
        let due = |quota: &EntryQuota| quota.ask_at.is_some_and(|at| at <= now);
        let due: Vec<OrganisationId> = self
            .entry_quotas
            .iter()
            .filter(|(_, quota)| due(quota))
            .map(|(organisation, _)| organisation.clone())
            .collect();
        let mut actions = Vec::new();
        for organisation in due {
            actions.extend(self.ask_home_again(now, &organisation));
        }
        actions
    }

    /// Asks one home again, or serves the requests here if this daemon is the home now.
    fn ask_home_again(&mut self, now: Instant, organisation: &OrganisationId) -> Vec<QuotaAction> {
        let home = self.home(organisation).cloned();
        if home.as_ref() != Some(&self.own_daemon) {
            return self.ask_home(now, organisation, home);
        }
        // This daemon has become the home in the meantime.
        let waiting = self.entry_quotas.get_mut(organisation).map(|quota| {
            quota.ask_at = None;
            quota.take_all_waiting()
        });
        let waiting = waiting.unwrap_or_default().into_iter();
        waiting
            .map(|request| self.take_at_home(now, request, organisation))
            .collect()
    }

    /// Answers a peer that asks for tokens; declines if this daemon is not the home, or not yet.
    fn lend(
        &mut self,
        now: Instant,
        call: CallId,
        organisation: &OrganisationId,
        count: u32,
    ) -> QuotaAction {
        let Some(held) = self.buckets.get_mut(organisation) else {
            return QuotaAction::Decline { call };
        };
        let loan = lend_from(&mut held.bucket, now, count);
        QuotaAction::Lend { call, loan }
    }

    /// Returns how long a loan lasts.
    fn loan_time(&self) -> Duration {
        Duration::from_millis(self.settings.loan_ms)
    }
}

/// Wait before a home that did not answer is asked again.
const HOME_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Takes as many whole tokens as there are, but at most `count`.
fn lend_from(bucket: &mut Bucket, now: Instant, count: u32) -> Loan {
    match bucket.take_whole(now, count) {
        0 => Loan {
            count: 0,
            retry_after: bucket.wait_for(now, 1.0),
        },
        lent => Loan {
            count: lent,
            retry_after: Duration::ZERO,
        },
    }
}
