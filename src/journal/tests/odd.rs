use crate::contract::View;
use crate::journal::follow::Follower;
use crate::journal::LogRecord;
use crate::ring::spawn_duty;

/// Far deeper than a reader that calls itself for each level could follow.
const DEPTH: usize = 100_000;

fn nested() -> String {
    "[".repeat(DEPTH) + &"]".repeat(DEPTH)
}

fn record(operation: u64, change: &str) -> String {
    let head = "\"base\":null,\"author\":\"t\",\"at_ms\":0";
    format!("{{\"operation\":{operation},{head},\"change\":{change}}}")
}

fn good(operation: u64, domain: &str) -> String {
    let change = format!(r#"{{"kind":"domain_in","domain":"{domain}"}}"#);
    record(operation, &change)
}

fn odd_bodies() -> Vec<String> {
    let nested = nested();
    let publish = |field: &str, value: &str| {
        let kind = r#""kind":"publish_organisation""#;
        record(
            7,
            &format!(r#"{{{kind},"contract":{{"organisation":"o","{field}":{value}}}}}"#),
        )
    };
    vec![
        String::new(),
        "null".to_owned(),
        nested.clone(),
        record(7, &nested),
        record(
            7,
            &format!(r#"{{"kind":"domain_in","domain":"d","more":{nested}}}"#),
        ),
        record(7, &format!(r#"{{"domain":{nested},"kind":"domain_in"}}"#)),
        record(7, &format!(r#"{{"{}":1}}"#, "k".repeat(1 << 20))),
        publish("rate_per_s", "1e400"),
        publish("rate_per_s", "1e300"),
        publish("rate_per_s", "-1"),
        publish("burst_count", "18446744073709551616"),
        publish("burst_count", "4294967295"),
        publish("rank", "256"),
        publish("routes", &nested),
        good(7, &"d".repeat(1 << 20)),
    ]
}

fn read(bodies: &[String], split: usize) -> View {
    let records: Vec<LogRecord> = bodies
        .iter()
        .enumerate()
        .map(|(offset, body)| LogRecord {
            offset: offset as u64,
            body: body.clone(),
        })
        .collect();
    let mut follower = Follower::default();
    let (first, rest) = records.split_at(split);
    follower.take(0, first.to_vec(), split as u64);
    follower.take(split as u64, rest.to_vec(), records.len() as u64);
    follower.view().clone()
}

#[test]
fn an_odd_record_of_the_configuration_is_void_for_all_readers() {
    // On a thread of a duty, whose stack is small.
    let thread = spawn_duty("odd", || {
        for odd in odd_bodies() {
            let name: String = odd.chars().take(120).collect();
            let bodies = [good(1, "a"), odd, good(2, "z")];
            let view = read(&bodies, 1);
            assert_eq!(view.next, 3, "{name}");
            assert!(view.has_seen(1) && view.has_seen(2), "{name}");
            assert!(view.organisations.is_empty(), "{name}");
            assert_eq!(
                view.to_checkpoint(),
                read(&bodies, 2).to_checkpoint(),
                "{name}"
            );
        }
    });
    assert!(thread.join().is_ok());
}
