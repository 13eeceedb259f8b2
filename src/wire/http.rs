//! HTTP helpers that the listeners and the clients share: headers and blocking requests.

use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder};

/// Name and value of one header.
pub type HeaderPair = (String, String);

/// Returns a builder for a blocking request that follows no redirects, uses no proxy, and is
/// limited to `connect` for connecting and to `total` for the whole request.
pub fn request_builder(
    method: Method,
    url: &str,
    connect: Duration,
    total: Duration,
) -> RequestBuilder {
    RequestBuilder::new(method, url)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(connect)
        .read_timeout(total)
        .timeout(total)
}

/// Returns whether a header concerns a single connection only and must not be forwarded.
pub fn is_hop_by_hop_header(name: &str) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Names in lower case of headers that concern a single connection only.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the value of the first header with a name, compared without regard to case.
pub fn header<'a>(headers: &'a [HeaderPair], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}
