//! Stand-in of the platform's store: keyed topics with one partition each.

use std::collections::{BTreeMap, HashMap};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, Message, Reader};

/// Key and value of a record; a record without a value drops its key.
type Record = (Vec<u8>, Vec<u8>);

/// The topics, by name.
#[derive(Default)]
struct Topics {
    topics: Mutex<HashMap<String, Vec<Record>>>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// Address at which it listens.
    pub address: String,
    topics: Arc<Topics>,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let topics = Arc::new(Topics::default());
        let shared = topics.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let topics = shared.clone();
                std::thread::spawn(move || serve(&topics, stream));
            }
        });
        Store { address, topics }
    }

    /// Appends a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.topics.lock().expect("no panic while locked");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.into(), value.into()));
        self.topics.changed.notify_all();
    }
}

/// Serves one connection to its end.
fn serve(topics: &Topics, mut stream: TcpStream) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(reading);
    while let Ok(request) = reader.message() {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let (status, body) = match request.path() {
            "/v1/log-append" => append(topics, &topic, &request.body),
            "/v1/log-newest" => newest(topics, &topic),
            "/v1/log-read" => read(topics, &topic, &request),
            _ => (404, Vec::new()),
        };
        if answer(&mut stream, status, "", &body).is_err() {
            return;
        }
    }
}

/// Appends the records of a body.
fn append(topics: &Topics, topic: &str, mut body: &[u8]) -> (u16, Vec<u8>) {
    let mut all = topics.topics.lock().expect("no panic while locked");
    let records = all.entry(topic.to_owned()).or_default();
    let offset = records.len();
    while body.len() > 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let record = &body[4..4 + length];
        let (key, value) = record[1..].split_at(record[0] as usize);
        records.push((key.to_vec(), value.to_vec()));
        body = &body[4 + length..];
    }
    let end = records.len();
    topics.changed.notify_all();
    let text = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
    (200, text.into_bytes())
}

/// Answers with the newest record of each key.
fn newest(topics: &Topics, topic: &str) -> (u16, Vec<u8>) {
    let all = topics.topics.lock().expect("no panic while locked");
    let records = all.get(topic).map_or(&[][..], Vec::as_slice);
    let mut by_key = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        by_key.insert(key, (offset, value));
    }
    let items: Vec<String> = by_key
        .iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| {
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        })
        .collect();
    let (items, end) = (items.join(","), records.len());
    let text = format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
    (200, text.into_bytes())
}

/// Answers with the records from an offset on, as soon as there is one.
fn read(topics: &Topics, topic: &str, request: &Message) -> (u16, Vec<u8>) {
    let number = |name| {
        request
            .query(name)
            .and_then(|text| text.parse::<u64>().ok())
    };
    let from = number("from").unwrap_or(0) as usize;
    let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
    let mut all = topics.topics.lock().expect("no panic while locked");
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let has_record = all.get(topic).is_some_and(|records| records.len() > from);
        if has_record || left.is_zero() {
            break;
        }
        let waited = topics.changed.wait_timeout(all, left);
        all = waited.expect("no panic while locked").0;
    }
    let records = all.get(topic).map_or(&[][..], Vec::as_slice);
    let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
    bytes.extend_from_slice(&0_u64.to_be_bytes());
    for (key, value) in records.iter().skip(from) {
        let length = (1 + key.len() + value.len()) as u32;
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.push(key.len() as u8);
        bytes.extend_from_slice(key);
        bytes.extend_from_slice(value);
    }
    (200, bytes)
}

/// Encodes bytes in base64.
fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = three
            .iter()
            .fold(0_u32, |word, byte| (word << 8) | u32::from(*byte));
        let word = word << (8 * (3 - three.len()));
        for place in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= three.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    text
}
