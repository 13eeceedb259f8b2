//! HTTP client of the platform's log.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use attohttpc::{Method, Response};
use serde::{Deserialize, Serialize};

use super::{Batch, LogError, LogRecord, PlatformLog};
use crate::settings::journal::JournalSettings;
use crate::types::{Offset, StoreEra, OFFSET_LIMIT};
use crate::wire::http::request_builder;

/// JSON body that answers a read of a stream.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Offset of the oldest record that the stream still keeps.
    pub first: Offset,
    /// Offset from which the next read continues.
    pub next: Offset,
    /// Records in ascending order of offset.
    pub records: Vec<RecordAnswer>,
}

impl ReadAnswer {
    /// Returns the greatest offset that the answer names anywhere.
    fn greatest_offset(&self) -> Offset {
        let records = self.records.iter().map(|record| record.offset);
        records.fold(self.first.max(self.next), Offset::max)
    }
}

/// One record in the answer to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordAnswer {
    /// Position of the record in its stream.
    pub offset: Offset,
    /// Text of the record, as it was appended.
    pub body: String,
}

/// JSON body that answers an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Position of the appended record in its stream.
    pub offset: Offset,
}

/// The platform's log, accessed over HTTP.
pub struct HttpLog {
    /// Address of the log.
    address: SocketAddr,
    /// Longest time for an answer, in addition to the wait of a read.
    timeout: Duration,
    /// Era in which the log was met; none before the first answer that tells one.
    era: Mutex<Option<StoreEra>>,
    /// Whether the log has told another era since. Never cleared.
    returned: AtomicBool,
}

/// Header of an answer with the era of a log that may return from a copy.
pub const ERA_HEADER: &str = "x-banyanbeam-log-era";

impl HttpLog {
    /// Creates a client for the address and the timeout of the settings.
    pub fn new(settings: &JournalSettings) -> HttpLog {
        HttpLog {
            address: settings.address,
            timeout: Duration::from_millis(settings.timeout_ms),
            era: Mutex::new(None),
            returned: AtomicBool::new(false),
        }
    }

    /// Refuses a log that has returned from a copy. Its offsets name other records, and it may have
    /// forgotten who holds a partition, so a daemon that goes on with it might give a right to a second
    /// holder.
    fn check_era(&self, response: &Response) -> Result<(), LogError> {
        let told = response.headers().get(ERA_HEADER);
        let told = told.and_then(|text| text.to_str().ok()?.parse::<StoreEra>().ok());
        let mut era = self.era.lock().expect("no panic while locked");
        if let Some(told) = told {
            let met = *era.get_or_insert(told);
            if told != met && !self.returned.swap(true, Ordering::Relaxed) {
                log::error!(met, told; "log_returned_from_copy");
            }
        }
        self.check_returned()
    }

    /// Fails once the log has returned from a copy.
    fn check_returned(&self) -> Result<(), LogError> {
        match self.returned.load(Ordering::Relaxed) {
            false => Ok(()),
            true => Err(LogError::Unavailable("returned from a copy".to_owned())),
        }
    }

    /// Returns the URL of a stream.
    fn url(&self, stream: &str) -> String {
        format!("http://{}/streams/{stream}", self.address)
    }
}

impl PlatformLog for HttpLog {
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit_count: usize,
        wait: Duration,
    ) -> Result<Batch, LogError> {
        self.check_returned()?;
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}?from={from}&limit={limit_count}&wait_ms={wait_ms}",
            self.url(stream)
        );
        let response = request_builder(Method::GET, &url, self.timeout, wait + self.timeout)
            .send()
            .map_err(unavailable)?;
        self.check_era(&response)?;
        if !response.is_success() {
            return Err(LogError::Unavailable(response.status().to_string()));
        }
        let text = response.text().map_err(unavailable)?;
        let answer: ReadAnswer = serde_json::from_str(&text).map_err(malformed)?;
        if answer.greatest_offset() > OFFSET_LIMIT {
            let problem = format!("an offset beyond {OFFSET_LIMIT}");
            return Err(LogError::Malformed(problem));
        }
        if answer.first > from {
            return Err(LogError::Truncated(answer.first));
        }
        let records = answer
            .records
            .into_iter()
            .map(|r| LogRecord {
                offset: r.offset,
                body: r.body,
            })
            .collect();
        Ok(Batch {
            records,
            next: answer.next,
        })
    }

    fn append(&self, stream: &str, body: &str) -> Result<Offset, LogError> {
        self.check_returned()?;
        let response = request_builder(Method::POST, &self.url(stream), self.timeout, self.timeout)
            .text(body)
            .send()
            .map_err(unavailable)?;
        self.check_era(&response)?;
        if !response.is_success() {
            return Err(LogError::Unavailable(response.status().to_string()));
        }
        let text = response.text().map_err(unavailable)?;
        let answer: AppendAnswer = serde_json::from_str(&text).map_err(malformed)?;
        Ok(answer.offset)
    }
}

/// Converts a failure of the HTTP client to a `LogError`.
fn unavailable(error: attohttpc::Error) -> LogError {
    LogError::Unavailable(error.to_string())
}

/// Converts an error in the JSON of an answer to a `LogError`.
fn malformed(error: serde_json::Error) -> LogError {
    LogError::Malformed(error.to_string())
}
