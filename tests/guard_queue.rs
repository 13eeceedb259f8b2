//! Property tests of the guard's fair queue: its bound, weights and shedding.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use banyanbeam::guard::message::GuardRequest;
use banyanbeam::guard::queue::FairQueue;
use banyanbeam::wire::forward::AttemptTerms;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Bound of the queue in the tests that fill it.
const QUEUE_LIMIT_COUNT: usize = 16;
const SEED: u64 = 7;

fn config() -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns a request with this number as its id and "oN" as its organisation.
fn request(number: u128, organisation: usize, weight_share: u32, foreground: bool) -> GuardRequest {
    GuardRequest {
        request: number,
        attempt: 1,
        incarnation: 1,
        organisation: format!("o{organisation}").as_str().into(),
        weight_share,
        service: "".into(),
        route: "r".into(),
        server: "s".into(),
        repeatable: true,
        foreground,
        rank: 0,
        terms: AttemptTerms {
            may_probe: true,
            ..Default::default()
        },
        fingerprint: [0; 32],
        arrived_at: Instant::now(),
        deadline_at: Instant::now() + Duration::from_secs(1),
        hung_after: None,
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn queue_is_bounded_and_loses_no_request(
        steps in prop::collection::vec((0usize..5, 1u32..4, any::<bool>(), any::<bool>()), 1..200),
    ) {
        let mut queue = FairQueue::new(QUEUE_LIMIT_COUNT);
        let mut queued = std::collections::BTreeSet::new();
        for (number, (organisation, weight_share, foreground, pop)) in steps.into_iter().enumerate() {
            let number = number as u128;
            if pop {
                if let Some(taken) = queue.pop() {
                    prop_assert!(queued.remove(&taken.request));
                }
                continue;
            }
            queued.insert(number);
            let shed = queue.push(request(number, organisation, weight_share, foreground));
            if let Some(shed) = shed {
                prop_assert!(queued.remove(&shed.request));
            }
            prop_assert!(queue.len() <= QUEUE_LIMIT_COUNT);
            prop_assert_eq!(queue.len(), queued.len());
        }
        while let Some(taken) = queue.pop() {
            prop_assert!(queued.remove(&taken.request));
        }
        prop_assert!(queued.is_empty());
    }

    #[test]
    fn waiting_organisations_get_their_weight_within_a_quantum(
        weights in prop::collection::vec(1u32..6, 2..6),
        pop_count in 1usize..200,
    ) {
        let mut queue = FairQueue::new(10_000);
        for (organisation, weight) in weights.iter().enumerate() {
            for number in 0..1_000 {
                let number = (organisation * 1_000 + number) as u128;
                queue.push(request(number, organisation, *weight, true));
            }
        }
        let mut taken: BTreeMap<String, f64> = BTreeMap::new();
        for _ in 0..pop_count {
            let next = queue.pop().expect("all organisations still wait");
            *taken.entry(next.organisation.to_string()).or_default() += 1.0;
        }
        let total: u32 = weights.iter().sum();
        let max_weight = f64::from(*weights.iter().max().unwrap());
        for (organisation, weight) in weights.iter().enumerate() {
            let actual = taken.get(&format!("o{organisation}")).copied().unwrap_or(0.0);
            let fair = pop_count as f64 * f64::from(*weight) / f64::from(total);
            let quantum = max_weight + f64::from(*weight);
            prop_assert!((actual - fair).abs() <= quantum, "{organisation}: {actual} of {fair}");
        }
    }

    #[test]
    fn organisation_within_its_share_is_never_shed(
        greedy_count in QUEUE_LIMIT_COUNT..100,
        modest_count in 1usize..8,
    ) {
        let mut queue = FairQueue::new(QUEUE_LIMIT_COUNT);
        for number in 0..greedy_count {
            queue.push(request(number as u128, 0, 1, true));
        }
        for number in 0..modest_count {
            let shed = queue.push(request(1_000 + number as u128, 1, 1, true));
            let shed = shed.expect("the queue was full");
            prop_assert_eq!(shed.organisation.as_ref(), "o0");
        }
    }
}
