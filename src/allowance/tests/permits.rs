use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::allowance::leases::Tenure;
use crate::allowance::permit::*;
use crate::contract::{ServiceContract, View};
use crate::link::PeerName;
use crate::membership::{DaemonEntry, Fleet, ServerEntry};
use crate::rollout::RolloutStep;
use crate::types::{BackendServerId, DaemonId, ServiceId};

/// Returns a daemon in its first incarnation.
fn peer(name: &str) -> PeerName {
    PeerName {
        daemon: name.into(),
        incarnation: 1,
    }
}

/// Returns ten servers of one service with this floor, one on the VM of each of ten daemons in two
/// failure domains.
fn world(floor_share: f64) -> (View, Fleet) {
    let mut view = View::default();
    let service: ServiceId = "workshop".into();
    let contract = ServiceContract {
        service: service.clone(),
        floor_share,
        ..Default::default()
    };
    view.services.insert(service.clone(), Arc::new(contract));
    let address = "127.0.0.1:1".parse().expect("a literal address");
    let mut fleet = Fleet::default();
    for index in 0..10 {
        let entry = DaemonEntry {
            daemon: format!("daemon-{index}").into(),
            incarnation: 1,
            version: 1,
            domain: format!("domain-{}", index % 2).into(),
            guard_address: address,
            link_address: address,
            leaving: false,
            servers: vec![ServerEntry {
                server: format!("server-{index}").into(),
                service: service.clone(),
                slots_count: 5,
                cold: false,
                draining: false,
                share_permille: 1000,
                ..Default::default()
            }],
        };
        fleet.daemons.insert(entry.daemon.clone(), Arc::new(entry));
    }
    (view, fleet)
}

#[test]
fn leaving_daemons_and_domains_out_consume_permits() {
    // Arrange
    let service: ServiceId = "workshop".into();
    let (mut view, mut fleet) = world(0.4);
    let all = permit_count(&service, &view, &fleet);

    // Act
    let mut leaving = (*fleet.daemons["daemon-0"]).clone();
    leaving.leaving = true;
    fleet.daemons.insert("daemon-0".into(), Arc::new(leaving));
    let drained = permit_count(&service, &view, &fleet);
    view.domains_out.insert("domain-1".into());
    let out = permit_count(&service, &view, &fleet);

    // Assert
    assert_eq!((all, drained, out), (6, 5, 0));
}

#[test]
fn servers_that_a_roll_out_keeps_from_the_service_neither_count_for_the_floor_nor_use_permits() {
    for step in [RolloutStep::Trial, RolloutStep::Closed] {
        // Arrange: half of the servers are of another version.
        let (view, mut fleet) = world(0.4);
        for index in 0..5 {
            let name: DaemonId = format!("daemon-{index}").into();
            let mut daemon = (*fleet.daemons[&name]).clone();
            daemon.servers[0].rollout_step = step;
            daemon.servers[0].draining = step == RolloutStep::Closed;
            fleet.daemons.insert(name, Arc::new(daemon));
        }

        // Act
        let permitted = permit_count(&"workshop".into(), &view, &fleet);

        // Assert
        assert_eq!(permitted, 3, "{step:?}");
    }
}

#[test]
fn a_fractional_floor_is_rounded_up() {
    let (view, fleet) = world(0.55);
    assert_eq!(permit_count(&"workshop".into(), &view, &fleet), 4);
}

#[test]
fn daemons_together_hold_no_more_than_the_permits_until_some_lapse() {
    // Arrange
    let now = Instant::now();
    let service: ServiceId = "workshop".into();
    let tenure = Tenure {
        begins_at: now,
        starts_full: true,
    };
    let mut lender = PermitLender::default();
    let mut give = |after: Duration, from: &str, count| {
        let given = lender.grant(now + after, (&service, tenure), &peer(from), (count, 3));
        given.count
    };

    // Act
    let first = give(Duration::ZERO, "a", 2);
    let second = give(Duration::from_secs(1), "b", 2);
    let repeated = give(Duration::from_secs(1), "a", 2);
    let lower = give(Duration::from_secs(2), "a", 1);
    let held = give(Duration::from_secs(3), "b", 2);
    let lapsed = give(Duration::from_secs(7), "b", 2);

    // Assert
    assert_eq!((first, second, repeated), (2, 1, 2));
    assert_eq!((lower, held, lapsed), (1, 1, 2));
}

#[test]
fn a_new_holder_grants_no_permit_while_earlier_permits_may_last() {
    // Arrange
    let now = Instant::now();
    let service: ServiceId = "workshop".into();
    let tenure = Tenure {
        begins_at: now,
        starts_full: false,
    };
    let mut lender = PermitLender::default();
    let mut give = |after| {
        let given = lender.grant(now + after, (&service, tenure), &peer("a"), (1, 3));
        given.count
    };

    // Act
    let early = give(PERMIT_TIME);
    let later = give(PERMIT_TIME + Duration::from_secs(1));

    // Assert
    assert_eq!((early, later), (0, 1));
}

#[test]
fn a_server_keeps_its_permit_when_another_is_refused() {
    // Arrange
    let now = Instant::now();
    let service: ServiceId = "workshop".into();
    let [one, two]: [BackendServerId; 2] = ["server-b".into(), "server-a".into()];
    let lapses_at = now + PERMIT_TIME;
    let mut requests = PermitRequests::default();
    requests.request(&service, &one);
    requests.answered(now, &service, (1, lapses_at));

    // Act
    let count = requests.request(&service, &two);
    let statuses = requests.answered(now, &service, (1, lapses_at));

    // Assert
    assert_eq!(count, 2);
    assert_eq!(statuses, [(one, Some(lapses_at)), (two, None)]);
}
