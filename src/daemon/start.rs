//! Assembly of a daemon, and its graceful shutdown.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use super::beside::{start_announce, start_guard};
use super::common::Common;
use super::entry::start_entry;
use super::fleet::{start_journal, start_link, start_membership, FleetAddresses};
use super::health::start_health;
use super::rings::{make_rings, Receivers, Rings};
use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::audit::NoAudit;
use crate::clock::{epoch_ms, Clock, SystemClock};
use crate::front::{FrontEvent, FrontMessage};
use crate::guard::{GuardEvent, GuardMessage};
use crate::health::HealthMessage;
use crate::journal::JournalEvent;
use crate::link::{self, LinkMessage};
use crate::membership::MembershipEvent;
use crate::metrics::Metrics;
use crate::routing::RoutingMessage;
use crate::settings::Settings;
use crate::wire::exchange::HttpListener;
use crate::wire::proof::FleetKey;

/// A running daemon.
pub struct Daemon {
    /// Where callers come in.
    pub front_address: SocketAddr,
    /// Where entries come in.
    pub guard_address: SocketAddr,
    /// Where backend servers announce themselves.
    pub announce_address: SocketAddr,
    /// Where other daemons come in for control.
    pub link_address: SocketAddr,
    /// Counters.
    pub metrics: Metrics,
    listeners: Vec<Arc<HttpListener>>,
    rings: Rings,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts a daemon with these settings.
pub fn start(settings: Settings) -> eyre::Result<Daemon> {
    let common = Common {
        key: FleetKey::new(&settings.daemon.fleet_secret),
        clock: Arc::new(SystemClock),
        metrics: Metrics::from_settings(&settings.metrics)?,
        audit: Arc::new(NoAudit),
        incarnation: epoch_ms(SystemClock.wall()),
        settings,
    };
    let front_listener = Arc::new(HttpListener::bind(common.settings.front.address)?);
    let guard_listener = Arc::new(HttpListener::bind(common.settings.guard.address)?);
    let announce_listener = Arc::new(HttpListener::bind(common.settings.guard.announce_address)?);
    let link_listener = link::duty::bind(common.settings.link.address)?;
    let link_address = link_listener.local_addr()?;
    let (rings, receivers) = make_rings(&common);
    let stopping = Arc::new(AtomicBool::new(false));
    let Receivers {
        front,
        allowance,
        routing,
        guard,
        health,
        membership,
        journal,
        link,
    } = receivers;
    let addresses = FleetAddresses {
        guard: guard_listener.address(),
        link: link_address,
    };
    let (drained, _guard_drained) = crossbeam::channel::bounded(1);
    let mut threads = Vec::new();
    threads.extend(start_entry(
        &common,
        &rings,
        &front_listener,
        (front, allowance, routing),
    ));
    threads.extend(start_guard(
        &common,
        &rings,
        &guard_listener,
        guard,
        drained,
    ));
    threads.push(start_health(&common, &rings, health));
    threads.push(start_announce(&rings, &announce_listener));
    threads.push(start_membership(&common, &rings, addresses, membership));
    threads.extend(start_journal(&common, &rings, journal, &stopping));
    threads.push(start_link(&common, &rings, link_listener, link));
    Ok(Daemon {
        front_address: front_listener.address(),
        guard_address: guard_listener.address(),
        announce_address: announce_listener.address(),
        link_address,
        metrics: common.metrics,
        listeners: vec![front_listener, guard_listener, announce_listener],
        rings,
        stopping,
        threads,
    })
}

impl Daemon {
    /// Graceful shutdown: takes no new work, tells the fleet, finishes what runs, and ends.
    pub fn stop(self, grace: Duration) {
        let Daemon {
            listeners,
            rings,
            stopping,
            threads,
            ..
        } = self;
        rings.front.deliver(FrontMessage::Event(FrontEvent::Drain));
        rings.guard.deliver(GuardMessage::Event(GuardEvent::Drain));
        let leave = AllowanceMessage::Event(AllowanceEvent::Leave);
        rings.allowance.deliver(leave);
        rings.membership.deliver(MembershipEvent::Leave);
        std::thread::sleep(grace);
        stopping.store(true, Ordering::Relaxed);
        for listener in &listeners {
            listener.close();
        }
        rings.front.deliver(FrontMessage::Stop);
        rings.allowance.deliver(AllowanceMessage::Stop);
        rings.routing.deliver(RoutingMessage::Stop);
        rings.guard.deliver(GuardMessage::Stop);
        rings.health.deliver(HealthMessage::Stop);
        rings.membership.deliver(MembershipEvent::Stop);
        rings.journal.deliver(JournalEvent::Stop);
        rings.link.deliver(LinkMessage::Stop);
        drop(rings);
        for thread in threads {
            // A duty that panicked has told so on standard error.
            let _ = thread.join();
        }
    }
}
