//! Starts what reads a store that keeps the newest record of each key.

use std::cell::Cell;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{bounded, Receiver, RecvTimeoutError, Sender};

use super::borders::NewestStore;
use super::common::Common;
use super::readers::Readers;
use super::rings::Rings;
use crate::allowance::AllowanceMessage;
use crate::feed::message::FeedRead;
use crate::feed::reader::{FeedReader, ReadMode};
use crate::feed::{self, FeedEvent, FeedMessage, Publisher};
use crate::membership::{DaemonEntry, MembershipEvent};
use crate::metrics::Metrics;
use crate::quota;
use crate::ring::{ring, spawn_duty, RingSender};

/// Descriptions of this daemon that wait to be written; the newest one counts.
const NOTICE_RING_COUNT: usize = 16;

/// What keeps the threads of a store going.
pub(super) struct NewestThreads {
    /// Takes descriptions of this daemon.
    pub(super) notices: RingSender<DaemonEntry>,
    /// Dropping it ends the waits of readers.
    pub(super) pause: Sender<()>,
}

pub(super) fn start_newest(
    common: &Common,
    rings: &Rings,
    store: NewestStore,
    messages: Receiver<FeedMessage>,
    stopping: &Arc<AtomicBool>,
) -> NewestThreads {
    let settings = &common.settings;
    let (pause, paused) = bounded(0);
    let (notices, notices_end) = ring("notice", NOTICE_RING_COUNT, &common.metrics);
    let feed_ring = rings.feed.clone();
    let configuration = FeedReader {
        settings: settings.feed.clone(),
        mode: ReadMode::Follow(Duration::from_millis(settings.feed.wait_ms)),
        feed: store.configuration,
        sink: Box::new(move |read| {
            feed_ring.deliver(FeedMessage::Event(FeedEvent::Read(read)));
        }),
        pause: paused.clone(),
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
        sink: Box::new(move |read| tell_membership(&membership, read)),
        pause: paused,
        stopping: stopping.clone(),
    };
    let context = feed::duty::FeedContext {
        settings: settings.feed.clone(),
        own: settings.daemon.daemon.clone(),
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        link: rings.link.clone(),
        answers: rings.feed.clone(),
        reader: Box::new(view_readers(common, rings)),
    };
    let metrics = common.metrics.clone();
    let publisher = store.notices;
    spawn_duty("read-configuration", move || configuration.run());
    spawn_duty("read-members", move || members.run());
    spawn_duty("feed", move || feed::duty::run(&context, &messages));
    spawn_duty("notice", move || {
        write_notices(publisher, &notices_end, &metrics)
    });
    NewestThreads { notices, pause }
}

/// Who reads views of a daemon.
pub(super) fn view_readers(common: &Common, rings: &Rings) -> Readers {
    Readers {
        front: rings.front.clone(),
        allowance: rings.allowance.clone(),
        routing: rings.routing.clone(),
        back_at: Cell::new(None),
        operator: rings.operator.clone(),
        trail: common.trail.clone(),
        membership: rings.membership.clone(),
        guard: rings.guard.clone(),
        ready: rings.ready.clone(),
        domain: common.settings.daemon.domain.clone(),
        batch_count: common.settings.journal.batch_count,
        metrics: common.metrics.clone(),
    }
}

fn tell_membership(membership: &RingSender<MembershipEvent>, read: FeedRead<DaemonEntry>) {
    match read {
        FeedRead::Newest(page) | FeedRead::Followed(page) => {
            for entry in page.items {
                membership.deliver(MembershipEvent::EntryReceived(entry));
            }
        }
        FeedRead::Failed(error) => log::debug!("members: {error}"),
    }
}

/// Writes descriptions of this daemon, of several that wait only the last. One that was not taken is
/// written again until a newer one comes.
fn write_notices(
    mut publisher: Box<dyn Publisher<DaemonEntry>>,
    notices: &Receiver<DaemonEntry>,
    metrics: &Metrics,
) {
    let mut unwritten: Option<DaemonEntry> = None;
    loop {
        let next = match unwritten.take() {
            None => notices.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(entry) => match notices.recv_timeout(NOTICE_RETRY) {
                Err(RecvTimeoutError::Timeout) => Ok(entry),
                other => other,
            },
        };
        let Ok(next) = next else {
            return;
        };
        let newest = notices.try_iter().last().unwrap_or(next);
        if let Err(error) = publisher.put(&newest) {
            metrics.count("notice.failed");
            log::debug!("the description of this daemon was not written: {error}");
            unwritten = Some(newest);
        }
    }
}

/// Wait before a description that was not taken is written again; a call that is refused has its price.
const NOTICE_RETRY: Duration = Duration::from_secs(1);

/// Starts the quota, which takes the allowance's place.
pub(super) fn start_quota(
    common: &Common,
    rings: &Rings,
    messages: Receiver<AllowanceMessage>,
) -> JoinHandle<()> {
    let settings = &common.settings;
    let (answers, answers_end) = ring("quota", settings.quota.ring_count, &common.metrics);
    let context = quota::duty::QuotaContext {
        settings: settings.quota.clone(),
        own: settings.daemon.daemon.clone(),
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        front: rings.front.clone(),
        link: rings.link.clone(),
        answers,
    };
    spawn_duty("quota", move || {
        quota::duty::run(context, &messages, &answers_end)
    })
}
