//! Property: followers that read the same prefix of the log reach the same view, whatever the
//! batches, repeated reads and checkpoints.

use banyanbeam::contract::{Change, OrganisationContract, Record, View};
use banyanbeam::journal::follow::Follower;
use banyanbeam::journal::LogRecord;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Draws one of a few changes of a few objects.
fn any_change() -> impl Strategy<Value = Change> {
    let name = prop_oneof![Just("o"), Just("p"), Just("")];
    let hash = prop_oneof![Just([1; 32]), Just([2; 32])];
    prop_oneof![
        (name, 0..4u8).prop_map(|(organisation, rate)| Change::PublishOrganisation {
            contract: OrganisationContract {
                organisation: organisation.into(),
                rate_per_s: f64::from(rate),
                ..Default::default()
            },
        }),
        hash.clone().prop_map(|key_hash| Change::GrantKey {
            organisation: "o".into(),
            key_hash,
        }),
        hash.prop_map(|key_hash| Change::WithdrawKey { key_hash }),
        any::<bool>().prop_map(|override_floor| Change::DomainOut {
            domain: "north".into(),
            override_floor,
        }),
        Just(Change::DomainIn {
            domain: "north".into(),
        }),
    ]
}

/// Draws up to 19 log records with few operation ids and bases, so that repeats and conflicts
/// occur; about one body in twenty is malformed.
fn any_records() -> impl Strategy<Value = Vec<LogRecord>> {
    let record = (
        any_change(),
        0..12u128,
        proptest::option::of(0..20u64),
        0..20u8,
    );
    proptest::collection::vec(record, 1..20).prop_map(|drawn| {
        let mut records = Vec::new();
        for (offset, (change, operation, base, shape)) in drawn.into_iter().enumerate() {
            let record = Record {
                operation,
                base,
                author: "test".to_owned(),
                at_ms: 0,
                change,
            };
            let body = match shape {
                0 => "malformed".to_owned(),
                _ => serde_json::to_string(&record).unwrap(),
            };
            let offset = offset as u64;
            records.push(LogRecord { offset, body });
        }
        records
    })
}

/// Feeds the records `from..to` to a follower as one batch.
fn apply_batch(follower: &mut Follower, records: &[LogRecord], from: usize, to: usize) {
    follower.apply_records(from as u64, records[from..to].to_vec(), to as u64);
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    #[test]
    fn view_is_independent_of_batches_repeats_and_checkpoints(
        records in any_records(),
        cuts in proptest::collection::vec(0..20usize, 0..6),
        checkpoint_at in 0..20usize,
    ) {
        let count = records.len();
        let mut whole = Follower::default();
        apply_batch(&mut whole, &records, 0, count);
        let expected = whole.view().to_checkpoint();

        let mut batched = Follower::default();
        let mut next = 0;
        for cut in cuts {
            let cut = cut.min(count);
            // The batch repeats records that were read before.
            apply_batch(&mut batched, &records, next.min(cut) / 2, cut.max(next));
            next = cut.max(next);
        }
        apply_batch(&mut batched, &records, next, count);
        prop_assert_eq!(batched.view().to_checkpoint(), expected.clone());

        let mut partial = Follower::default();
        apply_batch(&mut partial, &records, 0, checkpoint_at.min(count));
        let text = partial.view().to_checkpoint();
        prop_assert_eq!(View::from_checkpoint(&text).unwrap().to_checkpoint(), text.clone());
        let mut restored = Follower::default();
        restored.adopt_checkpoint(&text);
        let from = restored.view().next as usize;
        apply_batch(&mut restored, &records, from, count);
        prop_assert_eq!(restored.view().to_checkpoint(), expected);
    }
}
