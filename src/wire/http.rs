//! What the callers' side, the guard's side and the clients share of HTTP.

use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder};

/// One header, name and value.
pub type HeaderPair = (String, String);

/// A request builder without redirects, proxies or waits without end.
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

/// Headers that concern one connection only and are never passed on.
pub fn is_hop_by_hop_header(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

const HOP_HEADERS: &[&str] = &[
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

/// Finds a header by name.
pub fn header<'a>(headers: &'a [HeaderPair], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}
