//! Requests that can be told from the next one without knowing more of HTTP: no body, and nothing
//! that concerns the connection.

use hyper::Uri;

use crate::wire::exchange::RawHead;

const MAX_HEADER_COUNT: usize = 64;
const METHODS: [&str; 2] = ["GET", "HEAD"];
/// Headers that announce a body, or change how the connection goes on.
const OTHER_HEADERS: [&str; 6] = [
    "content-length",
    "expect",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What stands at the beginning of some bytes.
pub(super) enum Plain {
    /// A plain request.
    Request {
        head: RawHead,
        /// Bytes up to the next request.
        length_bytes: usize,
    },
    /// Nothing that is whole yet.
    Incomplete,
    /// Something else.
    Other,
}

/// The plain request at the beginning of `bytes`.
pub(super) fn plain_request(bytes: &[u8]) -> Plain {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_COUNT];
    let mut request = httparse::Request::new(&mut headers);
    let length_bytes = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length_bytes)) => length_bytes,
        Ok(httparse::Status::Partial) => return Plain::Incomplete,
        Err(_) => return Plain::Other,
    };
    match head_of(&request) {
        Some(head) => Plain::Request { head, length_bytes },
        None => Plain::Other,
    }
}

fn head_of(request: &httparse::Request<'_, '_>) -> Option<RawHead> {
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
        let goes_on = name == "connection" && header.value.eq_ignore_ascii_case(b"keep-alive");
        if OTHER_HEADERS.contains(&name.as_str()) || (name == "connection" && !goes_on) {
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
    })
}
