//! Stand-ins for the script cases 6, 8 and 9 of this review, and the driver that runs them: the
//! platform's store, application servers and clients. Standard library only.
//!
//! `standin SCENARIO RECORD WORK_DIR`, run from the root of the repository. SCENARIO is `poison`,
//! `no-tenants` or `chunked`. The daemons are started as separate processes with the command of the
//! deploy file. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Headers = Vec<(String, String)>;

const HOST: &str = "hire.example";
const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// `stability_window_ms` of the pages.
const STABILITY: Duration = Duration::from_millis(3_000);

// ---------------------------------------------------------------------------------------- record

struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    fn say(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}

// ------------------------------------------------------------------------------------------ http

fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// Reads a first line and headers; `None` at the end of the connection.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Headers)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first, headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &Headers) -> Option<Vec<u8>> {
    if let Some(length) = find(headers, "content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    let mut body = Vec::new();
    if !find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return Some(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

fn answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

// ----------------------------------------------------------------------------------------- store

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (usize, Vec<u8>)>,
}

impl Topic {
    fn append(&mut self, record: Vec<u8>) {
        if let Some((length, rest)) = record.split_first() {
            let (key, value) = rest.split_at((*length as usize).min(rest.len()));
            let (key, value) = (key.to_vec(), value.to_vec());
            match value.is_empty() {
                true => drop(self.newest.remove(&key)),
                false => drop(self.newest.insert(key, (self.records.len(), value))),
            }
        }
        self.records.push(record);
    }
}

#[derive(Default)]
struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (part[0] as u32) << 16
            | (*part.get(1).unwrap_or(&0) as u32) << 8
            | *part.get(2).unwrap_or(&0) as u32;
        for place in 0..4 {
            match place <= part.len() {
                true => text.push(SIGNS[(word >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let pairs = target.split_once('?')?.1.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

impl Store {
    fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().append(record);
        self.changed.notify_all();
    }

    fn handle(&self, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let path = target.split('?').next().unwrap_or_default();
        let Some(topic) = query(target, "topic") else {
            return (404, Vec::new());
        };
        let number = |name| query(target, name).and_then(|text| text.parse::<usize>().ok());
        let mut topics = self.topics.lock().unwrap();
        match path {
            "/v1/log-append" => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return (403, Vec::new());
                }
                let found = topics.entry(topic.to_owned()).or_default();
                let offset = found.records.len();
                if number("at").is_some_and(|at| at != offset) {
                    return (412, format!("{{\"end_offset\":{offset}}}").into_bytes());
                }
                let mut rest = body;
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    found.append(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let end = found.records.len();
                self.changed.notify_all();
                let text = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
                (200, text.into_bytes())
            }
            "/v1/log-newest" => {
                let found = topics.entry(topic.to_owned()).or_default();
                let items: Vec<String> = found
                    .newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        let key = String::from_utf8_lossy(key);
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let end = found.records.len();
                let items = items.join(",");
                let text =
                    format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
                (200, text.into_bytes())
            }
            "/v1/log-read" => {
                let from = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                let until = Instant::now() + wait;
                let end = |topics: &HashMap<String, Topic>| {
                    topics.get(topic).map_or(0, |found| found.records.len())
                };
                while end(&topics) <= from && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    topics = self.changed.wait_timeout(topics, left).unwrap().0;
                }
                let mut bytes = (end(&topics) as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0u64.to_be_bytes());
                let records = topics.get(topic).map_or(&[][..], |found| &found.records);
                for record in records.iter().skip(from) {
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                (200, bytes)
            }
            _ => (404, Vec::new()),
        }
    }

    fn serve(self: Arc<Store>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let store = self.clone();
            thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some((first, headers)) = read_head(&mut reader) {
                    let Some(body) = read_body(&mut reader, &headers) else {
                        return;
                    };
                    let target = first.split(' ').nth(1).unwrap_or_default();
                    let (status, body) = store.handle(target, &body);
                    if !answer(&mut writer, status, &[], &body) {
                        return;
                    }
                }
            });
        }
    }
}

// --------------------------------------------------------------------------------------- servers

/// One application server. It crashes when it begins to run a request whose path holds `poison`,
/// and is back 2 s later as a new incarnation with a new id.
struct Server {
    name: String,
    service: String,
    address: SocketAddr,
    control: SocketAddr,
    incarnation: AtomicU64,
    born_ms: AtomicU64,
    crashing: AtomicBool,
    up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
    /// Times and ids of the requests that crashed it.
    crashes: Arc<Mutex<Vec<(Instant, String)>>>,
}

fn epoch_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Server {
    fn id(&self) -> String {
        format!("i-{}-{}", self.name, self.incarnation.load(Ordering::SeqCst))
    }

    fn start(self: &Arc<Server>) {
        let server = self.clone();
        thread::spawn(move || server.live());
        let server = self.clone();
        thread::spawn(move || server.beat());
    }

    fn live(self: Arc<Server>) {
        loop {
            let Ok(listener) = TcpListener::bind(self.address) else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            self.incarnation.fetch_add(1, Ordering::SeqCst);
            self.born_ms.store(epoch_ms(), Ordering::SeqCst);
            self.crashing.store(false, Ordering::SeqCst);
            self.up.store(true, Ordering::SeqCst);
            self.record.say(&format!("server {} is up as {}", self.name, self.id()));
            while !self.crashing.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        self.streams.lock().unwrap().push(stream.try_clone().unwrap());
                        let server = self.clone();
                        thread::spawn(move || server.converse(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            self.up.store(false, Ordering::SeqCst);
            drop(listener);
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            thread::sleep(Duration::from_secs(2));
        }
    }

    fn converse(self: Arc<Server>, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some((first, headers)) = read_head(&mut reader) {
            let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
            let id = self.id();
            if path == "/healthz" {
                let sent = answer(&mut writer, 200, &[("Instance-Id", &id), ("Server-Load", "0,0,5")], b"");
                if sent {
                    continue;
                }
                return;
            }
            let request = find(&headers, "request-id").unwrap_or_default().to_owned();
            if find(&headers, "target-instance").is_some_and(|target| target != id) {
                self.record.say(&format!("server {id} answers 421 to {request}"));
                answer(&mut writer, 421, &[("Request-Id", &request), ("Instance-Id", &id)], b"");
                continue;
            }
            let Some(body) = read_body(&mut reader, &headers) else {
                return;
            };
            self.record.say(&format!("server {id} runs {request} {path}, body {} bytes", body.len()));
            if path.contains("poison") {
                self.crashes.lock().unwrap().push((Instant::now(), request.clone()));
                self.record.say(&format!("server {id} crashes on {request}"));
                self.crashing.store(true, Ordering::SeqCst);
                return;
            }
            thread::sleep(Duration::from_millis(30));
            let length = body.len().to_string();
            let headers = [("Request-Id", &*request), ("Response-Signature", "sound"), ("Server-Load", "0,0,5")];
            if !answer(&mut writer, 200, &headers, length.as_bytes()) {
                return;
            }
        }
    }

    fn beat(self: Arc<Server>) {
        let mut sequence = 0;
        let mut told = 0;
        loop {
            let number = self.incarnation.load(Ordering::SeqCst);
            if !self.up.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            if told != number {
                sequence = 0;
            }
            sequence += 1;
            let (address, service) = (self.address, &self.service);
            let born = self.born_ms.load(Ordering::SeqCst);
            let body = format!(
                "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
                 \"zone\":\"casa-a\",\"slots\":5}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"cold_remaining_ms\":0}}}}"
            );
            let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
            let path = format!("/v1/Instances.Heartbeat/{}", self.id());
            let limit = Duration::from_secs(1);
            let status = exchange(self.control, "POST", &path, &headers, Sending::Whole(body.into_bytes()), limit);
            let acknowledged = status.as_ref().is_ok_and(|found| (200..300).contains(found));
            if acknowledged {
                if told != number {
                    self.record.say(&format!("heartbeat of {} acknowledged", self.id()));
                }
                told = number;
            }
            let pause = if acknowledged { 1_500 } else { 300 };
            let until = Instant::now() + Duration::from_millis(pause);
            while Instant::now() < until && self.incarnation.load(Ordering::SeqCst) == number {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

// --------------------------------------------------------------------------------------- clients

/// How a client sends its body.
enum Sending {
    /// At once, with its length.
    Whole(Vec<u8>),
    /// At once, in chunks of 64 KiB.
    Chunked(Vec<u8>),
}

/// Sends one request on a new connection and returns the status of its answer.
fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &Headers,
    body: Sending,
    limit: Duration,
) -> Result<u16, String> {
    let text = |error: std::io::Error| error.to_string();
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(text)?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).map_err(text)?;
    let mut writer = stream.try_clone().map_err(text)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if find(headers, "host").is_none() {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    match &body {
        Sending::Whole(bytes) => {
            head.push_str(&format!("Content-Length: {}\r\n\r\n", bytes.len()));
        }
        Sending::Chunked(_) => head.push_str("Transfer-Encoding: chunked\r\n\r\n"),
    }
    writer.write_all(head.as_bytes()).map_err(text)?;
    // The answer may come before the body is sent, so it is read meanwhile.
    let sender = thread::spawn(move || match body {
        Sending::Whole(bytes) => drop(writer.write_all(&bytes)),
        Sending::Chunked(bytes) => {
            for part in bytes.chunks(65_536) {
                let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
                chunk.extend_from_slice(part);
                chunk.extend_from_slice(b"\r\n");
                if writer.write_all(&chunk).is_err() {
                    return;
                }
            }
            let _ = writer.write_all(b"0\r\n\r\n");
        }
    });
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok_or("no answer")?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let body = read_body(&mut reader, &headers).unwrap_or_default();
    drop(reader);
    // The sender ends by itself, once its body is out or the daemon takes no more of it.
    drop(sender);
    let status: u16 = status.ok_or("no status")?;
    if status >= 300 && !body.is_empty() {
        LAST_TEXT.lock().unwrap().insert(to, String::from_utf8_lossy(&body).trim().to_owned());
    }
    Ok(status)
}

/// Text of the last failure that each daemon answered, for the record.
static LAST_TEXT: Mutex<BTreeMap<SocketAddr, String>> = Mutex::new(BTreeMap::new());

fn client_headers(request: &str, deadline_ms: u64) -> Headers {
    [
        ("Host", HOST),
        ("Request-Id", request),
        ("Deadline-Ms", &deadline_ms.to_string()),
        ("Authorization", &format!("Bearer {KEY}")),
    ]
    .iter()
    .map(|(name, value)| (name.to_string(), value.to_string()))
    .collect()
}

// --------------------------------------------------------------------------------------- daemons

struct Daemon {
    name: String,
    ip: String,
    service: String,
    settings: String,
    log: String,
    pids: String,
    child: Option<Child>,
}

impl Daemon {
    fn at(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }
    fn outbound(&self) -> SocketAddr {
        self.at(8_001)
    }
    fn ready_address(&self) -> SocketAddr {
        self.at(8_003)
    }
    fn control(&self) -> SocketAddr {
        self.at(8_004)
    }
    fn app(&self) -> SocketAddr {
        self.at(8_005)
    }

    fn write_settings(&self, template: &str, store: &str, bounds: &str) {
        let section_at = template.find("{{#bounds}}").unwrap();
        let section_end = template.find("{{/bounds}}").unwrap() + "{{/bounds}}".len();
        let mut text = format!("{}{bounds}{}", &template[..section_at], &template[section_end..]);
        let values = [
            ("{{platform.address}}", store.to_owned()),
            ("{{limits.memory_mb}}", "260".to_owned()),
            ("{{node_name}}", self.name.clone()),
            ("{{zone}}", "casa-a".to_owned()),
            ("{{service}}", self.service.clone()),
            ("{{listen_addresses.outbound}}", self.outbound().to_string()),
            ("{{listen_addresses.inbound}}", self.at(8_002).to_string()),
            ("{{listen_addresses.ready}}", self.ready_address().to_string()),
            ("{{listen_addresses.control}}", self.control().to_string()),
            ("{{app_address}}", self.app().to_string()),
            ("{{ip}}", self.ip.clone()),
            ("{{internal_port_range.0}}", "7000".to_owned()),
        ];
        for (name, value) in values {
            text = text.replace(name, &value);
        }
        assert!(!text.contains("{{"), "a placeholder is left in the settings");
        std::fs::write(&self.settings, text).unwrap();
    }

    fn start(&mut self) -> Result<(), String> {
        let text = |error: std::io::Error| error.to_string();
        let log = File::options().create(true).append(true).open(&self.log).map_err(text)?;
        let errors = log.try_clone().map_err(text)?;
        let child = Command::new("target/release/banyanbeam-platform")
            .arg(&self.settings)
            .env("BANYANBEAM_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(text)?;
        let mut pids = File::options().create(true).append(true).open(&self.pids).map_err(text)?;
        let _ = writeln!(pids, "{}", child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGTERM, and SIGKILL after `grace_s`.
    fn stop(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        let until = Instant::now() + Duration::from_secs(6);
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let status = exchange(self.ready_address(), "GET", "/ready", &Vec::new(), Sending::Whole(Vec::new()), limit);
        status == Ok(200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

// ------------------------------------------------------------------------------------ deployment

struct Fleet {
    daemons: Vec<Daemon>,
    record: Arc<Record>,
    crashes: Arc<Mutex<Vec<(Instant, String)>>>,
}

const CONFIG: &str = r#"{"version":7,"services":[
{"name":"bookings","health_path":"/healthz","max_connections":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":17.0},
{"name":"fleet","health_path":"/healthz","max_connections":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":17.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"pulo780","api_keys":["6wsjnbanfqasnmgkcuyj"],"priority":1,"rate_per_s":25,"burst":25}],
"hosts":[{"host":"hire.example","paths":[
{"name":"deposit","path_prefix":"/deposit/","type":"non_idempotent","timeout_ms":5000,"target_latency_ms":1200,"priority":1,"service":"bookings","max_attempts":2,"public":false},
{"name":"photos","path_prefix":"/photos/","type":"upload","timeout_ms":20000,"target_latency_ms":1200,"priority":1,"service":"fleet","max_attempts":2,"public":false}]}]}"#;

const BOUNDS: &str = "\"stability_window_ms\": 3000,\"drain_ms\": 2000,\"grace_s\": 6,\"config_apply_ms\": 2000,\
\"retry_budget_ratio\": 0.2,\"budget_window_s\": 10,\"budget_slack\": 62,\"cold_overage\": 1.5,\"cold_slack\": 5";

fn free(address: &str) -> Result<TcpListener, String> {
    TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))
}

impl Fleet {
    /// Starts the store, one daemon and one server for each service named, and waits until all
    /// daemons have been ready for longer than the stability window.
    fn start(services: &[&str], work: &str, record: Arc<Record>) -> Result<Fleet, String> {
        Fleet::start_with(CONFIG, services, work, record)
    }

    fn start_with(
        config: &str,
        services: &[&str],
        work: &str,
        record: Arc<Record>,
    ) -> Result<Fleet, String> {
        let pid = std::process::id();
        let net = format!("127.{}.{}", 20 + pid % 200, pid / 200 % 250);
        let store_address = format!("{net}.250:8100");
        let listener = free(&store_address)?;
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", config.replace('\n', "").as_bytes());
        thread::spawn(move || store.serve(listener));
        let template = std::fs::read_to_string("deploy/settings.json").map_err(|e| e.to_string())?;
        let crashes = Arc::new(Mutex::new(Vec::new()));
        let mut fleet = Fleet { daemons: Vec::new(), record: record.clone(), crashes: crashes.clone() };
        for (number, service) in services.iter().enumerate() {
            let name = format!("m{}", number + 1);
            let daemon = Daemon {
                ip: format!("{net}.{}", number + 1),
                service: service.to_string(),
                settings: format!("{work}/{name}.json"),
                log: format!("{work}/{name}.log"),
                pids: format!("{work}/pids"),
                child: None,
                name: name.clone(),
            };
            for port in [7_000, 8_001, 8_002, 8_003, 8_004, 8_005, 9_464] {
                free(&daemon.at(port).to_string())?;
            }
            daemon.write_settings(&template, &store_address, BOUNDS);
            let server = Arc::new(Server {
                name,
                service: service.to_string(),
                address: daemon.app(),
                control: daemon.control(),
                incarnation: AtomicU64::new(0),
                born_ms: AtomicU64::new(0),
                crashing: AtomicBool::new(false),
                up: AtomicBool::new(false),
                streams: Mutex::default(),
                record: record.clone(),
                crashes: crashes.clone(),
            });
            server.start();
            fleet.daemons.push(daemon);
        }
        for daemon in &mut fleet.daemons {
            daemon.start()?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !fleet.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > until {
                return Err("the daemons did not get ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        fleet.record.say("all daemons are ready");
        thread::sleep(STABILITY + Duration::from_secs(2));
        Ok(fleet)
    }
}

// ------------------------------------------------------------------------------------- scenarios

/// A request that crashes its servers comes again and again at one machine. With `trouble`, the
/// machines of its service are stopped and started in turn.
fn poison(work: &str, record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::start(&["fleet", "bookings", "bookings", "bookings"], work, record.clone())?;
    let entry = fleet.daemons[0].outbound();
    // Client attempts in order: when sent, its id, its answer.
    let mut sent: Vec<(Instant, String)> = Vec::new();
    let send = |sent: &mut Vec<(Instant, String)>| -> bool {
        let id = format!("{:016x}", 0x9c41_0000 + sent.len());
        let at = Instant::now();
        sent.push((at, id.clone()));
        record.say(&format!("client sends {id} POST /deposit/poison at m1"));
        let headers = client_headers(&id, 8_000);
        let body = Sending::Whole(b"table=12".to_vec());
        let status = exchange(entry, "POST", "/deposit/poison", &headers, body, Duration::from_secs(9));
        let text = LAST_TEXT.lock().unwrap().get(&entry).cloned().unwrap_or_default();
        record.say(&format!("client gets {status:?} for {id} ({text})"));
        let crashes = fleet.crashes.lock().unwrap();
        crashes.iter().any(|(_, request)| *request == id)
    };
    // The request comes again until the fleet has refused it 24 times in a row.
    let press = |sent: &mut Vec<(Instant, String)>, most: usize| {
        let mut refused = 0;
        for _ in 0..most {
            match send(sent) {
                true => {
                    refused = 0;
                    thread::sleep(Duration::from_millis(3_500));
                }
                false => {
                    refused += 1;
                    thread::sleep(Duration::from_millis(150));
                }
            }
            if refused >= 24 {
                return;
            }
        }
    };
    press(&mut sent, 30);
    for number in 1..4 {
        match trouble {
            true => {
                record.say(&format!("SIGTERM to the daemon of m{}", number + 1));
                fleet.daemons[number].stop();
                fleet.daemons[number].start()?;
                record.say(&format!("the daemon of m{} is started again", number + 1));
                let until = Instant::now() + Duration::from_secs(8);
                while !fleet.daemons[number].is_ready() && Instant::now() < until {
                    thread::sleep(Duration::from_millis(50));
                }
                record.say(&format!("the daemon of m{} is ready", number + 1));
                // In touch again once it has run for the stability window.
                thread::sleep(STABILITY + Duration::from_millis(500));
            }
            false => thread::sleep(Duration::from_secs(6)),
        }
        press(&mut sent, 30);
    }
    let crashes = fleet.crashes.lock().unwrap().clone();
    record.say(&format!("{} client attempts, {} crashes of servers", sent.len(), crashes.len()));
    let Some(third_at) = crashes.get(2).map(|(at, _)| *at) else {
        record.say("BUDGET held: the request crashed fewer than three servers");
        return Ok(false);
    };
    let later = sent.iter().filter(|(at, id)| {
        *at > third_at + STABILITY && crashes.iter().any(|(_, request)| request == id)
    });
    let count = later.count();
    record.say(&format!(
        "{count} retries that were sent later than 3 s after the third crash reached a server; allowed 3"
    ));
    record.say(if count > 3 { "BUDGET broken" } else { "BUDGET held" });
    Ok(count > 3)
}

/// Ten uploads that the configuration allows, at a machine in touch. `sending` makes the body's way.
fn uploads(
    work: &str,
    record: &Arc<Record>,
    bytes: usize,
    sending: fn(Vec<u8>) -> Sending,
) -> Result<bool, String> {
    let fleet = Fleet::start(&["bookings", "fleet", "fleet", "fleet"], work, record.clone())?;
    let entry = fleet.daemons[0].outbound();
    let clients: Vec<_> = (0..10)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(200) * number);
                let id = format!("{:016x}", 0x7a10_0000 + number as usize);
                record.say(&format!("client sends {id} POST /photos/{number}, body {bytes} bytes"));
                let headers = client_headers(&id, 20_000);
                let path = format!("/photos/{number}");
                let began = Instant::now();
                let limit = Duration::from_secs(21);
                let status = exchange(entry, "POST", &path, &headers, sending(vec![b'p'; bytes]), limit);
                let text = LAST_TEXT.lock().unwrap().get(&entry).cloned().unwrap_or_default();
                let text = if status == Ok(200) { String::new() } else { text };
                let took = began.elapsed().as_secs_f64();
                record.say(&format!("client gets {status:?} for {id} after {took:.1} s ({text})"));
                status
            })
        })
        .collect();
    let statuses: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let denied = statuses.iter().filter(|status| status.as_ref().is_ok_and(|status| is_denial(*status)));
    let denied = denied.count();
    let served = statuses.iter().filter(|status| **status == Ok(200)).count();
    let allowed = 5.0 + statuses.len() as f64 / 500.0;
    record.say(&format!("{denied} of {} proper uploads denied, {served} served; allowed {allowed}", statuses.len()));
    if denied == 0 && served < statuses.len() {
        return Err("uploads failed for another reason".to_owned());
    }
    let broken = denied as f64 > allowed;
    record.say(if broken { "DENIED broken" } else { "DENIED held" });
    Ok(broken)
}

/// Twenty requests with a key or, without tenants in the configuration, with none.
fn tenants(work: &str, record: &Arc<Record>, configured: bool) -> Result<bool, String> {
    let lines = CONFIG.lines().filter(|line| configured || !line.starts_with("\"tenants\""));
    let config: Vec<&str> = lines.collect();
    let services = ["fleet", "bookings", "bookings", "bookings"];
    let fleet = Fleet::start_with(&config.join("\n"), &services, work, record.clone())?;
    let (mut denied, mut served) = (0, 0);
    let count = 20;
    for number in 0..count {
        let entry = fleet.daemons[number % 4].outbound();
        let id = format!("{:016x}", 0x51c3_0000 + number);
        let mut headers = client_headers(&id, 5_000);
        if !configured {
            headers.retain(|(name, _)| name != "Authorization");
        }
        let path = format!("/deposit/{number}");
        let body = Sending::Whole(b"table=12".to_vec());
        let status = exchange(entry, "POST", &path, &headers, body, Duration::from_secs(6));
        let text = LAST_TEXT.lock().unwrap().get(&entry).cloned().unwrap_or_default();
        let text = if status == Ok(200) { String::new() } else { text };
        record.say(&format!("client sends {id} POST {path} and gets {status:?} ({text})"));
        served += usize::from(status == Ok(200));
        denied += usize::from(status.is_ok_and(is_denial));
        thread::sleep(Duration::from_millis(100));
    }
    let allowed = 5.0 + count as f64 / 500.0;
    record.say(&format!("{denied} of {count} proper requests denied, {served} served; allowed {allowed}"));
    if denied == 0 && served < count {
        return Err("requests failed for another reason".to_owned());
    }
    let broken = denied as f64 > allowed;
    record.say(if broken { "DENIED broken" } else { "DENIED held" });
    Ok(broken)
}

/// Returns whether a status is one of those that the rule DENIED counts.
fn is_denial(status: u16) -> bool {
    (300..500).contains(&status) && ![408, 421, 429].contains(&status)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, record, work] = &arguments[..] else {
        eprintln!("usage: standin poison|no-tenants|chunked RECORD WORK_DIR");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = Mutex::new(File::create(record).unwrap());
    let record = Arc::new(Record { file, began: Instant::now() });
    record.say(&format!("scenario {scenario}, trouble {trouble}"));
    let whole: fn(Vec<u8>) -> Sending = Sending::Whole;
    let result = match (&**scenario, trouble) {
        ("poison", _) => poison(work, &record, trouble),
        ("chunked", true) => uploads(work, &record, 5 << 20, Sending::Chunked),
        ("chunked", false) => uploads(work, &record, 5 << 20, whole),
        ("no-tenants", _) => tenants(work, &record, !trouble),
        _ => Err("no such scenario".to_owned()),
    };
    let status = match result {
        Ok(broken) => i32::from(broken),
        Err(problem) => {
            record.say(&format!("the case could not run: {problem}"));
            2
        }
    };
    std::process::exit(status);
}
