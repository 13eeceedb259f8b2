//! Client of the operators' HTTP API.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use eyre::WrapErr;
use serde::Serialize;

use super::message::OperatorAnswer;
use crate::wire::http::request_builder;

/// Sends requests to one daemon in the name of one operator.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    /// Address on which the daemon takes operators' requests.
    pub address: SocketAddr,
    /// Token that authenticates the operator.
    pub token: String,
}

/// Limit for connecting to the daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit for the whole answer of the daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

impl OperatorClient {
    /// Sends a query to the daemon; `target` is its path and query string.
    pub fn get(&self, target: &str) -> eyre::Result<OperatorAnswer> {
        self.send(Method::GET, target, String::new())
    }

    /// Sends a request for a change with a JSON body.
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
