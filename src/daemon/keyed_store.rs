//! Starts the threads for a platform whose store keeps the newest record of each key, and the quota
//! that replaces the allowance there.

use std::cell::Cell;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{bounded, Receiver, RecvTimeoutError, Sender};

use super::journal_dispatch::JournalDispatch;
use super::rings::RingSenders;
use super::shared::SharedResources;
use crate::allowance::AllowanceMessage;
use crate::feed::era::{EraFeed, EraWatch};
use crate::feed::message::FeedRead;
use crate::feed::reader::{FeedReader, ReadMode};
use crate::feed::role::SharedRole;
use crate::feed::{self, ConfigurationItem, Feed, FeedEvent, FeedMessage, Publisher};
use crate::membership::{DaemonEntry, DaemonRecord, MembershipEvent};
use crate::metrics::Metrics;
use crate::quota;
use crate::ring::{ring, spawn_duty, RingSender};

/// Records of this daemon that may wait to be written. Only the newest one is written.
const RECORD_RING_COUNT: usize = 16;

/// Ends the wait of a reading thread when it is dropped, or for once by a message.
pub(super) type Pause = Arc<Sender<()>>;

/// Parts of a keyed store for configuration and members.
pub(super) struct KeyedFeeds {
    /// Feed of contracts, keys and other items of the configuration.
    pub(super) configuration: Box<dyn Feed<ConfigurationItem>>,
    /// Feed of the descriptions of all daemons.
    pub(super) members: Box<dyn Feed<DaemonEntry>>,
    /// Writes the record of this daemon to the store.
    pub(super) publisher: Box<dyn Publisher<DaemonRecord>>,
    /// Latest era that the store has told to any of the above.
    pub(super) eras: Arc<EraWatch>,
}

/// Handles to the threads of a keyed store.
pub(super) struct KeyedStoreThreads {
    /// Receives the records of this daemon that are to be published.
    pub(super) records: RingSender<DaemonRecord>,
    /// Dropping them ends the waits of the reading threads.
    pub(super) pauses: Vec<Pause>,
}

/// Starts the threads that read configuration and members, follow the configuration, and publish
/// the record of this daemon.
pub(super) fn start_keyed_store(
    shared: &SharedResources,
    rings: &RingSenders,
    store: KeyedFeeds,
    messages: Receiver<FeedMessage>,
    stopping: &Arc<AtomicBool>,
) -> KeyedStoreThreads {
    let settings = &shared.settings;
    let (follow_pause, follow_paused) = bounded(0);
    let (poll_pause, poll_paused) = bounded(1);
    let pauses: Vec<Pause> = vec![Arc::new(follow_pause), Arc::new(poll_pause)];
    listen_for_eras(&store.eras, rings, &pauses[1]);
    let (records, records_receiver) = ring("notice", RECORD_RING_COUNT, &shared.metrics);
    let feed_ring = rings.feed.clone();
    let role = Arc::new(SharedRole::default());
    let configuration = FeedReader {
        settings: settings.feed.clone(),
        mode: ReadMode::Follow(role.clone()),
        feed: Box::new(EraFeed::new(store.configuration, store.eras)),
        sink: Box::new(move |read| {
            feed_ring.deliver(FeedMessage::Event(FeedEvent::Read(read)));
        }),
        pause: follow_paused,
        stopping: stopping.clone(),
    };
    let membership = rings.membership.clone();
    let members = FeedReader {
        settings: settings.feed.clone(),
        mode: ReadMode::Poll {
            first: Duration::from_millis(settings.feed.members_poll_ms),
            longest: Duration::from_millis(settings.feed.members_poll_limit_ms),
        },
        feed: store.members,
        sink: Box::new(move |read| send_to_membership(&membership, read)),
        pause: poll_paused,
        stopping: stopping.clone(),
    };
    let context = feed::duty::FeedContext {
        settings: settings.feed.clone(),
        own_daemon: settings.daemon.daemon.clone(),
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        link: rings.link.clone(),
        answers: rings.feed.clone(),
        role,
        observer: Box::new(keyed_dispatch(shared, rings)),
    };
    let metrics = shared.metrics.clone();
    let publisher = store.publisher;
    spawn_duty("read-configuration", move || configuration.run());
    spawn_duty("read-members", move || members.run());
    spawn_duty("feed", move || feed::duty::run(&context, &messages));
    spawn_duty("notice", move || {
        write_records(publisher, &records_receiver, &metrics)
    });
    KeyedStoreThreads { records, pauses }
}

/// Has the duties told when the store returns from a copy: the configuration and the members are read
/// again, and the record of this daemon is written again.
fn listen_for_eras(eras: &EraWatch, rings: &RingSenders, poll_pause: &Pause) {
    let (feed, membership) = (rings.feed.clone(), rings.membership.clone());
    let poll_pause = Arc::downgrade(poll_pause);
    eras.listen(Box::new(move |era| {
        feed.deliver(FeedMessage::Event(FeedEvent::EraBegan(era)));
        membership.deliver(MembershipEvent::StoreReturned);
        if let Some(pause) = poll_pause.upgrade() {
            // A message that waits already has the same effect.
            let _ = pause.try_send(());
        }
    }));
}

/// Creates the dispatcher that passes views and records to the duties.
pub(super) fn journal_dispatch(shared: &SharedResources, rings: &RingSenders) -> JournalDispatch {
    JournalDispatch {
        front: rings.front.clone(),
        allowance: rings.allowance.clone(),
        routing: rings.routing.clone(),
        back_at: Cell::new(None),
        operator: rings.operator.clone(),
        audit_events: shared.audit_events.clone(),
        membership: rings.membership.clone(),
        guard: rings.guard.clone(),
        ready: rings.ready.clone(),
        rollout: None,
        domain: shared.settings.daemon.domain.clone(),
        batch_count: shared.settings.journal.batch_count,
        metrics: shared.metrics.clone(),
    }
}

/// Creates the dispatcher of a keyed store, which passes the orders of views to the roll-out duty
/// too.
fn keyed_dispatch(shared: &SharedResources, rings: &RingSenders) -> JournalDispatch {
    JournalDispatch {
        rollout: Some(rings.rollout.clone()),
        ..journal_dispatch(shared, rings)
    }
}

/// Passes the members that were read to membership; logs a failed read.
fn send_to_membership(membership: &RingSender<MembershipEvent>, read: FeedRead<DaemonEntry>) {
    match read {
        FeedRead::Newest(page) | FeedRead::Followed(page) => {
            for entry in page.items {
                membership.deliver(MembershipEvent::EntryReceived(entry));
            }
        }
        FeedRead::Failed(error) => log::debug!("reading the members failed: {error}"),
    }
}

/// Writes the records of this daemon to the store until the ring closes. If several are waiting,
/// only the newest is written. A failed write is repeated until a newer record comes.
fn write_records(
    mut publisher: Box<dyn Publisher<DaemonRecord>>,
    records: &Receiver<DaemonRecord>,
    metrics: &Metrics,
) {
    let mut unwritten: Option<DaemonRecord> = None;
    loop {
        let next = match unwritten.take() {
            None => records.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(record) => match records.recv_timeout(RECORD_RETRY_DELAY) {
                Err(RecvTimeoutError::Timeout) => Ok(record),
                other => other,
            },
        };
        let Ok(next) = next else {
            return;
        };
        let newest = records.try_iter().last().unwrap_or(next);
        if let Err(error) = publisher.put(&newest) {
            metrics.count("notice.failed");
            log::debug!("writing the record of this daemon failed: {error}");
            unwritten = Some(newest);
        }
    }
}

/// Wait before a failed write of a record is repeated, since refused calls have a cost too.
const RECORD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Starts the thread of the quota, which replaces the allowance when there is no log.
pub(super) fn start_quota(
    shared: &SharedResources,
    rings: &RingSenders,
    messages: Receiver<AllowanceMessage>,
) -> JoinHandle<()> {
    let settings = &shared.settings;
    let (answers, answers_receiver) = ring("quota", settings.quota.ring_count, &shared.metrics);
    let context = quota::duty::QuotaContext {
        settings: settings.quota.clone(),
        own_daemon: settings.daemon.daemon.clone(),
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        front: rings.front.clone(),
        link: rings.link.clone(),
        answers,
    };
    spawn_duty("quota", move || {
        quota::duty::run(context, &messages, &answers_receiver)
    })
}
