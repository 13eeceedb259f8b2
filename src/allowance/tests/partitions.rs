use std::collections::BTreeSet;

use crate::allowance::partition::*;
use crate::contract::OrganisationContract;
use crate::link::PeerName;

fn candidates(domain_count: usize, daemon_count: usize) -> Candidates {
    let candidate = |index: usize| Candidate {
        name: PeerName {
            daemon: format!("daemon-{index}").into(),
            incarnation: 1,
        },
        domain: format!("domain-{}", index % domain_count).into(),
    };
    Candidates::new((0..daemon_count).map(candidate).collect())
}

#[test]
fn the_shards_of_a_contract_add_up_to_its_limits() {
    for burst_count in [1, 2, 5, 6, 7, 8, 100] {
        // Arrange
        let contract = OrganisationContract {
            rate_per_s: 10.0,
            burst_count,
            ..Default::default()
        };

        // Act
        let count = shard_count(&contract);
        let shares: Vec<(f64, f64)> = (0..count)
            .map(|i| shard_limits(&contract, count, i))
            .collect();

        // Assert
        let burst: f64 = shares.iter().map(|(_, burst)| burst).sum();
        let rate: f64 = shares.iter().map(|(rate, _)| rate).sum();
        assert_eq!(burst, f64::from(burst_count));
        assert!((rate - 10.0).abs() < 1e-9, "rate {rate}");
        assert!(shares.iter().all(|(_, burst)| *burst >= 1.0));
    }
}

#[test]
fn shards_of_mixed_contract_versions_stay_within_the_largest() {
    // Arrange
    let contract = |burst_count| OrganisationContract {
        burst_count,
        ..Default::default()
    };
    let versions = [contract(1), contract(7), contract(8), contract(30)];

    // Act
    let greatest = |shard| {
        let bursts = versions
            .iter()
            .map(|version| shard_limits(version, 3, shard).1);
        bursts.fold(0.0, f64::max)
    };
    let most: f64 = (0..3).map(greatest).sum();

    // Assert
    assert_eq!(most, 30.0);
}

#[test]
fn the_shards_of_an_organisation_prefer_different_domains() {
    let candidates = candidates(3, 21);
    for name in ["optician-1", "optician-2", "spa-7"] {
        let partitions = partitions_of(name, 3, PARTITION_COUNT);
        let domains: BTreeSet<_> = partitions
            .iter()
            .map(|partition| {
                candidates
                    .preferred(*partition)
                    .expect("candidates")
                    .domain
                    .clone()
            })
            .collect();
        assert_eq!(domains.len(), 3, "{name}");
    }
}

#[test]
fn partitions_spread_evenly_over_daemons() {
    // Arrange
    let candidates = candidates(3, 27);
    let mut counts = std::collections::BTreeMap::new();

    // Act
    for partition in 0..PARTITION_COUNT {
        let preferred = candidates.preferred(partition).expect("candidates");
        *counts.entry(preferred.name.clone()).or_insert(0_u32) += 1;
    }

    // Assert
    let fair = u32::from(PARTITION_COUNT) / 27;
    assert_eq!(counts.len(), 27);
    assert!(
        counts.values().all(|count| *count <= fair * 2),
        "{counts:?}"
    );
}

#[test]
fn a_grantor_is_in_another_domain() {
    let candidates = candidates(3, 9);
    for own in candidates.iter() {
        let grantor = candidates.grantor_for(own, |_| true).expect("a grantor");
        let found = candidates.iter().find(|c| c.name == grantor);
        assert_ne!(found.expect("a candidate").domain, own.domain);
    }
}
