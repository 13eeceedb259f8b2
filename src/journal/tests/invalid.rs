use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::Duration;

use crate::contract::View;
use crate::journal::client::HttpLog;
use crate::journal::follow::Follower;
use crate::journal::{checkpoint, Batch, LogError, LogRecord, PlatformLog};
use crate::journal::{CHECKPOINTS, CHECKPOINT_PARTS};
use crate::ring::spawn_duty;
use crate::settings::journal::JournalSettings;
use crate::types::Offset;

/// Nesting that would overflow the stack of a parser that recurses without a limit.
const NESTING_DEPTH: usize = 100_000;

fn nested() -> String {
    "[".repeat(NESTING_DEPTH) + &"]".repeat(NESTING_DEPTH)
}

fn record(operation: u64, change: &str) -> String {
    let head = "\"base\":null,\"author\":\"t\",\"at_ms\":0";
    format!("{{\"operation\":{operation},{head},\"change\":{change}}}")
}

fn valid_record(operation: u64, domain: &str) -> String {
    let change = format!(r#"{{"kind":"domain_in","domain":"{domain}"}}"#);
    record(operation, &change)
}

fn invalid_bodies() -> Vec<String> {
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
        valid_record(7, &"d".repeat(1 << 20)),
    ]
}

/// Returns the view after records that are applied in two batches, the first of `split` records.
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
    follower.apply_records(0, first.to_vec(), split as u64);
    follower.apply_records(split as u64, rest.to_vec(), records.len() as u64);
    follower.view().clone()
}

#[test]
fn an_invalid_record_of_the_configuration_has_no_effect_for_any_reader() {
    // Runs on a duty's thread, whose stack is small.
    let thread = spawn_duty("odd", || {
        for invalid in invalid_bodies() {
            let name: String = invalid.chars().take(120).collect();
            let bodies = [valid_record(1, "a"), invalid, valid_record(2, "z")];
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

/// Log in memory that keeps the records of each stream from offset 0 on.
#[derive(Default)]
struct MemoryLog(Mutex<BTreeMap<String, Vec<String>>>);

impl PlatformLog for MemoryLog {
    fn read(
        &self,
        stream: &str,
        from: Offset,
        _limit_count: usize,
        _wait: Duration,
    ) -> Result<Batch, LogError> {
        let streams = self.0.lock().expect("no panic while reading");
        let bodies = streams.get(stream).map_or(&[][..], Vec::as_slice);
        if from > bodies.len() as Offset {
            return Err(LogError::Unavailable("no such offset".to_owned()));
        }
        let records = bodies.iter().enumerate().skip(from as usize);
        let records = records.map(|(offset, body)| LogRecord {
            offset: offset as Offset,
            body: body.clone(),
        });
        Ok(Batch {
            records: records.collect(),
            next: bodies.len() as Offset,
        })
    }

    fn append(&self, stream: &str, body: &str) -> Result<Offset, LogError> {
        let mut streams = self.0.lock().expect("no panic while appending");
        let bodies = streams.entry(stream.to_owned()).or_default();
        bodies.push(body.to_owned());
        Ok(bodies.len() as Offset - 1)
    }
}

#[test]
fn an_invalid_checkpoint_does_not_hide_the_last_valid_one() {
    let markers = [
        r#"{"next":18446744073709551615,"writing":"w","first_part":0,"part_count":0}"#,
        r#"{"next":99,"writing":"w","first_part":18446744073709551615,"part_count":1}"#,
        r#"{"next":99,"writing":"w","first_part":0,"part_count":1}"#,
        r#"{"next":99,"writing":"v","first_part":0,"part_count":1}"#,
        r#"{"next":99,"writing":"w","first_part":0,"part_count":18446744073709551615}"#,
        r#"{"next":1e400,"writing":"w","first_part":0,"part_count":1}"#,
    ];
    for marker in markers {
        // Arrange
        let log = MemoryLog::default();
        let text = read(&[valid_record(1, "a")], 0).to_checkpoint();
        let mut beyond = View::default();
        beyond.read_up_to(Offset::MAX);
        let beyond = beyond.to_checkpoint();
        for (writing, text) in [("w", "{"), ("v", beyond.as_str())] {
            let part = serde_json::json!({"writing": writing, "index": 0, "text": text});
            log.append(CHECKPOINT_PARTS, &part.to_string())
                .expect("room");
        }
        checkpoint::write(&log, 1, &text).expect("room");
        log.append(CHECKPOINTS, marker).expect("room");

        // Act
        let found = checkpoint::find(&log, 64);

        // Assert
        assert_eq!(found, Ok(Some(text)), "{marker}");
    }
}

/// Returns a client of a log on loopback that answers one read with a text.
fn serve_read_answer(text: &'static str) -> HttpLog {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let Ok((mut stream, _)) = listener.accept() else {
            return;
        };
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|read| read == 1) {
            head.push(byte[0]);
        }
        let length = text.len();
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
        // The client may have closed the connection; the test does not depend on this write.
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(text.as_bytes());
    });
    HttpLog::new(&JournalSettings {
        address,
        ..Default::default()
    })
}

#[test]
fn an_offset_beyond_the_limit_is_malformed() {
    let invalid = [
        r#"{"first":0,"next":18446744073709551615,"records":[]}"#,
        r#"{"first":18446744073709551615,"next":3,"records":[]}"#,
        r#"{"first":0,"next":3,"records":[{"offset":18446744073709551615,"body":"{}"}]}"#,
        r#"{"first":0,"next":1e400,"records":[]}"#,
    ];
    for text in invalid {
        let read = serve_read_answer(text).read("s", 2, 64, Duration::ZERO);
        assert!(
            matches!(read, Err(LogError::Malformed(_))),
            "{text}: {read:?}"
        );
    }
    let valid = r#"{"first":0,"next":3,"records":[{"offset":2,"body":"{}"}]}"#;
    let read = serve_read_answer(valid).read("s", 2, 64, Duration::ZERO);
    assert!(read.is_ok_and(|batch| batch.next == 3));
}
