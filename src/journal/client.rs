//! The platform's log over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use serde::{Deserialize, Serialize};

use super::{Batch, LogError, LogRecord, PlatformLog};
use crate::settings::journal::JournalSettings;
use crate::types::{Offset, OFFSET_LIMIT};
use crate::wire::http::request_builder;

/// Answer to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Offset of the oldest record that is still kept.
    pub first: Offset,
    /// Offset to read from next.
    pub next: Offset,
    /// The records.
    pub records: Vec<RecordAnswer>,
}

impl ReadAnswer {
    fn greatest_offset(&self) -> Offset {
        let records = self.records.iter().map(|record| record.offset);
        records.fold(self.first.max(self.next), Offset::max)
    }
}

/// One record in the answer to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordAnswer {
    /// Its place in the stream.
    pub offset: Offset,
    /// Its text.
    pub body: String,
}

/// Answer to an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Where the record stands.
    pub offset: Offset,
}

/// The platform's log over HTTP.
pub struct HttpLog {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpLog {
    /// A client for the log of the settings.
    pub fn new(settings: &JournalSettings) -> HttpLog {
        HttpLog {
            address: settings.address,
            timeout: Duration::from_millis(settings.timeout_ms),
        }
    }

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
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}?from={from}&limit={limit_count}&wait_ms={wait_ms}",
            self.url(stream)
        );
        let response = request_builder(Method::GET, &url, self.timeout, wait + self.timeout)
            .send()
            .map_err(unavailable)?;
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
        let response = request_builder(Method::POST, &self.url(stream), self.timeout, self.timeout)
            .text(body)
            .send()
            .map_err(unavailable)?;
        if !response.is_success() {
            return Err(LogError::Unavailable(response.status().to_string()));
        }
        let text = response.text().map_err(unavailable)?;
        let answer: AppendAnswer = serde_json::from_str(&text).map_err(malformed)?;
        Ok(answer.offset)
    }
}

fn unavailable(error: attohttpc::Error) -> LogError {
    LogError::Unavailable(error.to_string())
}

fn malformed(error: serde_json::Error) -> LogError {
    LogError::Malformed(error.to_string())
}
