//! One connection: reads requests, hands them out, and sends the answers back.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use crossbeam::channel::Sender;
use futures::channel::oneshot;
use futures::future::{select, Either};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::exchange::{BodyPart, LeaveWatch, ListenerExchange};
use super::{Arrival, EAGER_BODY_BYTES};
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::wire::exchange::{RawHead, WholeAnswer};

/// What a connection hands requests to.
pub(super) struct Connection {
    pub(super) peer: SocketAddr,
    pub(super) arrivals: Sender<Arrival>,
    pub(super) closed: async_channel::Receiver<()>,
}

/// A head that is not there by then ends the connection; an idle connection has no such limit.
const HEAD_LIMIT: Duration = Duration::from_secs(30);
/// A head that is longer is answered with 431.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;
const MAX_HEADER_COUNT: usize = 200;
/// A short body that is not there by then is given up.
const EAGER_BODY_LIMIT: Duration = Duration::from_secs(10);
/// Parts of a body that are read ahead of the thread that takes them.
const BODY_RING_COUNT: usize = 4;

impl Connection {
    /// Serves the connection to its end. A request that waits when the caller leaves is dropped,
    /// which tells whoever watches its exchange.
    pub(super) async fn run(self, stream: Async<TcpStream>) {
        let service = service_fn(|request| self.answer(request));
        let serving = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(HEAD_LIMIT)
            .max_buf_size(HEAD_LIMIT_BYTES)
            .max_headers(MAX_HEADER_COUNT)
            .serve_connection(FuturesIo::new(stream), service);
        let ended = std::pin::pin!(self.closed.recv());
        let result = match select(std::pin::pin!(serving), ended).await {
            Either::Left((result, _)) => result,
            Either::Right((_, mut serving)) => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        };
        if let Err(error) = result {
            log::debug!("connection of {}: {error}", self.peer);
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (answer_sender, answer) = oneshot::channel();
        let (body_sender, body) = async_channel::bounded(BODY_RING_COUNT);
        let (watch, watched) = LeaveWatch::new();
        let (head, mut incoming) = take_head(request, self.peer);
        if head
            .body_bytes
            .is_some_and(|bytes| (1..=EAGER_BODY_BYTES).contains(&bytes))
        {
            match read_short_body(&mut incoming).await {
                Some(body) => drop(body_sender.try_send(Ok(body))),
                None => return Ok(to_response(refusal(0, ErrorKind::ShortUpload, None))),
            }
        }
        let exchange = ListenerExchange::new(body, answer_sender, watched);
        if self.arrivals.try_send((head, Box::new(exchange))).is_err() {
            return Ok(to_response(refusal(0, ErrorKind::Busy, None)));
        }
        let answering = std::pin::pin!(answer);
        let reading = std::pin::pin!(read_body(incoming, body_sender));
        let answered = match select(answering, reading).await {
            Either::Left((answered, _)) => answered,
            Either::Right(((), answering)) => answering.await,
        };
        watch.answered();
        // An exchange that was dropped unanswered is a fault of the daemon.
        Ok(answered.map_or_else(
            |_| to_response(refusal(0, ErrorKind::Internal, None)),
            to_response,
        ))
    }
}

/// Reads a short body whole before the request is handed out, so that a slow sender of one holds
/// no thread. None if it does not come.
async fn read_short_body(incoming: &mut Incoming) -> Option<Bytes> {
    let body = std::pin::pin!(incoming.collect());
    let late = std::pin::pin!(Timer::after(EAGER_BODY_LIMIT));
    match select(body, late).await {
        Either::Left((Ok(body), _)) => Some(body.to_bytes()),
        Either::Left((Err(_), _)) | Either::Right(_) => None,
    }
}

async fn read_body(mut incoming: Incoming, parts: async_channel::Sender<BodyPart>) {
    while let Some(frame) = incoming.frame().await {
        let part = match frame {
            Ok(frame) => match frame.into_data() {
                Ok(data) => Ok(data),
                Err(_) => continue,
            },
            Err(error) => Err(std::io::Error::other(error)),
        };
        let failed = part.is_err();
        if parts.send(part).await.is_err() || failed {
            return;
        }
    }
}

fn take_head(request: Request<Incoming>, peer: SocketAddr) -> (RawHead, Incoming) {
    let (parts, incoming) = request.into_parts();
    let mut headers = Vec::with_capacity(parts.headers.len());
    for (name, value) in &parts.headers {
        headers.push((
            name.to_string(),
            String::from_utf8_lossy(value.as_bytes()).into_owned(),
        ));
    }
    let chunked = parts.headers.contains_key("transfer-encoding");
    let target = parts
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let head = RawHead {
        method: parts.method.to_string(),
        target: target.to_owned(),
        headers,
        body_bytes: if chunked {
            None
        } else {
            Some(hyper::body::Body::size_hint(&incoming).exact().unwrap_or(0))
        },
        peer: Some(peer),
    };
    (head, incoming)
}

fn to_response(answer: WholeAnswer) -> Response<Full<Bytes>> {
    let mut response = status_only(
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
    );
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) else {
            continue;
        };
        response.headers_mut().append(name, value);
    }
    *response.body_mut() = Full::new(Bytes::from(answer.body));
    response
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
