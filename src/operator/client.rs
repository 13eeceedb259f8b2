//! A client of the operators' HTTP API.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use eyre::WrapErr;
use serde::Serialize;

use super::message::OperatorAnswer;
use crate::wire::http::request_builder;

/// Asks one daemon as one operator.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    /// Operators' address of the daemon.
    pub address: SocketAddr,
    /// The operator's token.
    pub token: String,
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

impl OperatorClient {
    /// Asks the daemon.
    pub fn get(&self, target: &str) -> eyre::Result<OperatorAnswer> {
        self.send(Method::GET, target, String::new())
    }

    /// Asks the daemon for a change.
    pub fn post<T: Serialize>(&self, target: &str, body: &T) -> eyre::Result<OperatorAnswer> {
        self.send(Method::POST, target, serde_json::to_string(body)?)
    }

    fn send(&self, method: Method, target: &str, body: String) -> eyre::Result<OperatorAnswer> {
        let url = format!("http://{}{target}", self.address);
        let response = request_builder(method, &url, CONNECT_TIMEOUT, ANSWER_TIMEOUT)
            .bearer_auth(&self.token)
            .text(body)
            .send()
            .wrap_err_with(|| format!("daemon at {}", self.address))?;
        let text = response.text()?;
        serde_json::from_str(&text).wrap_err_with(|| format!("answer {text:?}"))
    }
}
