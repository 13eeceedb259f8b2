//! Parses plain requests: those without a body and without headers that affect the connection, so
//! that the end of the head is the start of the next request.

use hyper::Uri;

use crate::wire::exchange::RawHead;

/// Greatest number of headers of a plain request.
const HEADER_LIMIT_COUNT: usize = 64;
/// Methods of plain requests.
const METHODS: [&str; 2] = ["GET", "HEAD"];
/// Headers that announce a body or affect the connection; a plain request has none of them.
const OTHER_HEADERS: [&str; 6] = [
    "content-length",
    "expect",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Result of parsing the beginning of some bytes as a plain request.
pub(super) enum PlainParse {
    /// The bytes begin with a plain request.
    Request {
        head: RawHead,
        /// Length of the request, after which the next one starts.
        length_bytes: usize,
    },
    /// The bytes are an incomplete head.
    Incomplete,
    /// The bytes begin with another request, or with none at all.
    Other,
}

/// Parses the plain request at the beginning of `bytes`.
pub(super) fn parse_plain_request(bytes: &[u8]) -> PlainParse {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT_COUNT];
    let mut request = httparse::Request::new(&mut headers);
    let length_bytes = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length_bytes)) => length_bytes,
        Ok(httparse::Status::Partial) => return PlainParse::Incomplete,
        Err(_) => return PlainParse::Other,
    };
    match plain_head(&request) {
        Some(head) => PlainParse::Request { head, length_bytes },
        None => PlainParse::Other,
    }
}

/// Returns the head of a parsed request, or `None` if the request is not plain.
fn plain_head(request: &httparse::Request<'_, '_>) -> Option<RawHead> {
    let method = request.method.filter(|method| METHODS.contains(method))?;
    if request.version != Some(1) {
        return None;
    }
    let target = request.path?;
    let uri: Uri = target.parse().ok()?;
    if uri.path_and_query()?.as_str() != target {
        return None;
    }
    let mut headers = Vec::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        let keeps_alive = name == "connection" && header.value.eq_ignore_ascii_case(b"keep-alive");
        if OTHER_HEADERS.contains(&name.as_str()) || (name == "connection" && !keeps_alive) {
            return None;
        }
        headers.push((name, String::from_utf8_lossy(header.value).into_owned()));
    }
    Some(RawHead {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body_bytes: Some(0),
        peer: None,
        began_at: None,
    })
}
