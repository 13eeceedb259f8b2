//! Load of unequal servers under many entries that each see little of them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::choice::{answered, entry, fleet, view};
use super::plan;
use crate::routing::choice::ServerChoice;
use crate::routing::least_loaded::LeastLoaded;
use crate::routing::{RequestPlan, Target};
use crate::settings::routing::RoutingSettings;

/// Entries that choose.
const ENTRY_COUNT: usize = 96;
/// Servers that they choose from; every fourth is half as fast as the others.
const SERVER_COUNT: usize = 40;
/// Requests that a server runs at a time.
const SLOTS_COUNT: u32 = 5;
/// Time of a run at a fast server.
const RUN_MS: u64 = 400;
/// Time within which callers want their answers.
const TARGET_MS: u64 = 1_200;
/// Longest time that an answer takes to its entry.
const NEWS_AGE_MS: u64 = 500;
/// Length of a play.
const PLAY_MS: u64 = 20_000;

/// What callers got in a play, and how evenly the servers were loaded.
#[derive(Debug)]
#[expect(dead_code, reason = "the test prints every field")]
struct Outcome {
    /// Share of the requests that were answered within the target time.
    in_time_share: f64,
    /// Time that 99 of 100 requests took at most.
    slowest_ms: u64,
    /// Standard deviation of the open requests for each slot, over servers and arrivals.
    spread: f64,
    /// Share of the runs that waited although a slot was free at another server.
    needless_wait_share: f64,
}

/// A run that ends or whose answer arrives: when, at which server, for which entry, and when sent.
type End = Reverse<(u64, usize, usize, u64)>;

/// Plays entries that use this much of the servers' room. Guards queue what has no free slot.
fn play(speed_half_life_ms: u64, used_share: f64, seed: u64) -> Outcome {
    let began = Instant::now();
    let at = |ms: u64| began + Duration::from_millis(ms);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let settings = RoutingSettings {
        speed_half_life_ms,
        draw_count: 8,
        ..Default::default()
    };
    let servers = fleet((0..SERVER_COUNT).map(|index| entry(index, 1000)));
    let choice = |index: usize| {
        let random = ChaCha8Rng::seed_from_u64(index as u64);
        let domain = ["north", "south", "west"][index % 3];
        let mut choice = LeastLoaded::new(settings.clone(), domain.into(), random);
        choice.update_view(view(0.5, None));
        choice.update_fleet(servers.clone());
        choice
    };
    let mut entries: Vec<LeastLoaded> = (0..ENTRY_COUNT).map(choice).collect();
    let run_ms = |server: usize| if server % 4 == 0 { 2 * RUN_MS } else { RUN_MS };
    let rate_per_ms: f64 = (0..SERVER_COUNT)
        .map(|server| used_share * f64::from(SLOTS_COUNT) / run_ms(server) as f64)
        .sum();
    let arrival_count = (rate_per_ms * PLAY_MS as f64) as usize;
    let mut arrivals: Vec<u64> = (0..arrival_count)
        .map(|_| random.random_range(0..PLAY_MS))
        .collect();
    arrivals.sort_unstable();
    let target = |server: usize| Target {
        daemon: format!("d{server}").into(),
        guard_address: "127.0.0.1:1".parse().expect("a literal address"),
        server: format!("s{server}").into(),
    };
    let plan = RequestPlan {
        service: "workshop".into(),
        route: "look-up".into(),
        ..plan(at(10 * PLAY_MS))
    };
    // End of each open request by server, in the order of their arrival.
    let mut open_until: Vec<Vec<u64>> = vec![Vec::new(); SERVER_COUNT];
    let mut ends: BinaryHeap<End> = BinaryHeap::new();
    let mut news: BinaryHeap<End> = BinaryHeap::new();
    let mut times_ms = Vec::new();
    let (mut squares, mut needless_count) = (0.0, 0);
    for now_ms in arrivals {
        while ends
            .peek()
            .is_some_and(|Reverse((end_ms, ..))| *end_ms <= now_ms)
        {
            let Reverse((end_ms, server, entry, sent_ms)) = ends.pop().expect("peeked");
            open_until[server].retain(|until| *until > end_ms);
            let heard_ms = end_ms + random.random_range(0..NEWS_AGE_MS);
            news.push(Reverse((heard_ms, server, entry, sent_ms)));
        }
        while news
            .peek()
            .is_some_and(|Reverse((heard_ms, ..))| *heard_ms <= now_ms)
        {
            let Reverse((heard_ms, server, entry, sent_ms)) = news.pop().expect("peeked");
            let choice = &mut entries[entry];
            let elapsed = Duration::from_millis(heard_ms - sent_ms);
            choice.attempt_ended(at(heard_ms), &plan, &target(server), &answered(), elapsed);
        }
        let index = random.random_range(0..ENTRY_COUNT);
        let picked = entries[index]
            .pick(at(now_ms), &plan, &[])
            .expect("a server");
        entries[index].attempt_sent(at(now_ms), &plan, &picked);
        let server: usize = picked.server[1..].parse().expect("the number of a server");
        let full = |open: &Vec<u64>| open.len() >= SLOTS_COUNT as usize;
        let free_elsewhere = !open_until.iter().all(full);
        needless_count += usize::from(full(&open_until[server]) && free_elsewhere);
        let open = &mut open_until[server];
        let ahead = open.len().checked_sub(SLOTS_COUNT as usize);
        open.sort_unstable();
        let start_ms = ahead.map_or(now_ms, |ahead| open[ahead]);
        let end_ms = start_ms + run_ms(server) * random.random_range(50..150) / 100;
        open.push(end_ms);
        ends.push(Reverse((end_ms, server, index, now_ms)));
        times_ms.push(end_ms - now_ms);
        let loads = open_until
            .iter()
            .map(|open| open.len() as f64 / f64::from(SLOTS_COUNT));
        let mean = loads.clone().sum::<f64>() / SERVER_COUNT as f64;
        squares += loads.map(|load| (load - mean).powi(2)).sum::<f64>() / SERVER_COUNT as f64;
    }
    times_ms.sort_unstable();
    let count = times_ms.len();
    let in_time_count = times_ms
        .iter()
        .filter(|time_ms| **time_ms <= TARGET_MS)
        .count();
    Outcome {
        in_time_share: in_time_count as f64 / count as f64,
        slowest_ms: times_ms[count * 99 / 100],
        spread: (squares / count as f64).sqrt(),
        needless_wait_share: needless_count as f64 / count as f64,
    }
}

#[test]
fn entries_that_remember_the_speed_of_servers_bring_more_answers_in_time() {
    for used_share in [0.7, 0.9] {
        // Arrange
        let mut late_share = [0.0, 0.0];

        // Act
        for seed in 3..6 {
            for (late_share, half_life_ms) in late_share.iter_mut().zip([2_000, 10_000]) {
                let outcome = play(half_life_ms, used_share, seed);
                println!("used {used_share}, half-life {half_life_ms} ms: {outcome:?}");
                *late_share += (1.0 - outcome.in_time_share) / 3.0;
            }
        }

        // Assert
        let [short, long] = late_share;
        assert!(
            long < 0.9 * short,
            "used {used_share}: {long:.4} late after {short:.4}"
        );
    }
}
