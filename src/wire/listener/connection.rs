//! One connection of the listener: reads requests, delivers them, and sends the answers.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures::channel::oneshot;
use futures::future::{select, Either};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use thiserror::Error;

use super::answer_body::AnswerBody;
use super::body::{read_eager_body, EagerBody, BODY_RING_COUNT};
use super::exchange::{CallerHandle, ListenerExchange};
use super::linger::linger;
use super::read_ahead::{self, EarlyRequest, ReadAhead, ReadAheadStream};
use super::Shared;
use crate::error::ErrorKind;
use crate::wire::exchange::{RawHead, RequestBody, WholeAnswer};
use crate::wire::http::is_hop_by_hop_header;

/// One accepted connection of a caller.
pub(super) struct Connection {
    /// Address of the caller.
    peer: SocketAddr,
    /// State shared with the listener's other connections.
    shared: Rc<Shared>,
    /// Bytes that arrived and that the HTTP library has not read yet.
    ahead: Rc<RefCell<ReadAhead>>,
}

/// The caller has closed the connection, so its unread requests are not run.
#[derive(Debug, Error)]
#[error("the caller has closed the connection")]
struct CallerLeft;

/// Greatest length of a head; a longer one is answered with 431.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;
/// Greatest number of headers of a request.
const HEADER_LIMIT_COUNT: usize = 200;

impl Connection {
    /// Returns a connection on which nothing was read yet.
    pub(super) fn new(peer: SocketAddr, shared: Rc<Shared>) -> Connection {
        let ahead = ReadAhead::new(shared.options.budget.clone(), peer);
        Connection {
            peer,
            shared,
            ahead: Rc::new(RefCell::new(ahead)),
        }
    }

    /// Serves the connection to its end. A request that is unanswered when the caller disconnects
    /// is dropped, which calls the callback of its exchange.
    pub(super) async fn run(self, stream: Async<TcpStream>) {
        let stream = Rc::new(stream);
        let dispatch_early = |head| self.dispatch_early(head);
        let reading = std::pin::pin!(read_ahead::pump(&stream, &self.ahead, &dispatch_early));
        let serving = std::pin::pin!(self.serve(stream.clone()));
        let served = matches!(select(serving, reading).await, Either::Left(_));
        let shed = self.ahead.borrow().is_shed();
        if shed {
            self.count("listener.connection.shed");
        }
        match served {
            // Boxed, since its buffer would be part of the task of every connection.
            true if shed || self.ahead.borrow().body_incomplete() => {
                Box::pin(linger(&stream)).await;
            }
            false if !shed => self.count("listener.disconnect"),
            _ => {}
        }
    }

    /// Adds one to a counter of the listener.
    fn count(&self, name: &str) {
        self.shared.options.metrics.count(name);
    }

    /// Serves the connection through the HTTP library until it ends or the listener is closed.
    async fn serve(&self, stream: Rc<Async<TcpStream>>) {
        let stream = ReadAheadStream {
            stream,
            ahead: self.ahead.clone(),
        };
        let service = service_fn(|request| self.answer(request));
        let serving = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(self.shared.options.head_timeout)
            .max_buf_size(HEAD_LIMIT_BYTES)
            .max_headers(HEADER_LIMIT_COUNT)
            .serve_connection(FuturesIo::new(stream), service);
        let closing = std::pin::pin!(self.closing());
        let result = match select(std::pin::pin!(serving), closing).await {
            Either::Left((result, _)) => result,
            Either::Right((_, mut serving)) => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        };
        if let Err(error) = result {
            log::debug!("the connection of {} failed: {error}", self.peer);
        }
    }

    /// Waits until the listener is closed and the requests that were dispatched early are answered.
    async fn closing(&self) {
        // Nothing is sent on the channel; it is only closed.
        let _ = self.shared.closed.recv().await;
        read_ahead::early_requests_done(&self.ahead).await;
    }

    /// Delivers a request before the HTTP library has read it. Returns `None` if the connection is
    /// about to end or the ring is full.
    fn dispatch_early(&self, head: RawHead) -> Option<EarlyRequest> {
        let shared = &self.shared;
        if shared.winding_down.load(Ordering::Relaxed) || shared.closed.is_closed() {
            return None;
        }
        let head = RawHead {
            peer: Some(self.peer),
            began_at: Some(Instant::now()),
            ..head
        };
        // If the ring is full, the request is delivered in order, and refused if still full then.
        let (answer, watch) = self.deliver(&head, RequestBody::Whole(Bytes::new()))?;
        Some(EarlyRequest {
            head,
            answer,
            watch,
        })
    }

    /// Delivers a request through the ring; returns `None` if the ring is full.
    fn deliver(
        &self,
        head: &RawHead,
        body: RequestBody,
    ) -> Option<(oneshot::Receiver<WholeAnswer>, CallerHandle)> {
        let (answer_sender, answer) = oneshot::channel();
        let (watch, watched) = CallerHandle::new();
        let exchange = ListenerExchange::new(body, answer_sender, watched);
        let arrival = (head.clone(), Box::new(exchange) as Box<_>);
        self.shared.arrivals.try_send(arrival).ok()?;
        Some((answer, watch))
    }

    /// Returns the response to a request that the HTTP library has read. One that was still unread
    /// when the caller left is not delivered.
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, CallerLeft> {
        if self.ahead.borrow().is_closed() {
            self.count("listener.request.dropped");
            return Err(CallerLeft);
        }
        let early = self.ahead.borrow_mut().next();
        let answer = match early {
            Some(early) => self.early_answer(early, request).await,
            None => self.answer_in_turn(request).await,
        };
        self.ahead.borrow_mut().record_answer();
        Ok(self.respond(answer))
    }

    /// Waits for the answer to a request that was dispatched early. If the HTTP library has read
    /// another request, refuses that one and closes the connection.
    async fn early_answer(&self, early: EarlyRequest, request: Request<Incoming>) -> WholeAnswer {
        let EarlyRequest {
            head,
            answer,
            watch,
        } = early;
        let same = request.method().as_str() == head.method && target(request.uri()) == head.target;
        if !same {
            let (read, _) = take_head(request, self.peer);
            log::error!("a request was parsed in two different ways; its connection is closed");
            self.ahead.borrow_mut().give_up();
            let mut refusal = self.refusal(&read, ErrorKind::Internal);
            let close = ("connection".to_owned(), "close".to_owned());
            refusal.headers.push(close);
            return refusal;
        }
        let answered = answer.await;
        watch.answered();
        answered.unwrap_or_else(|_| self.refusal(&head, ErrorKind::Internal))
    }

    /// Delivers a request that is next in order and waits for its answer. The parts of a long body
    /// are read meanwhile.
    async fn answer_in_turn(&self, request: Request<Incoming>) -> WholeAnswer {
        let (mut head, mut incoming) = take_head(request, self.peer);
        head.began_at = self.ahead.borrow().busy_since();
        self.ahead.borrow_mut().set_body_incomplete(true);
        let options = &self.shared.options;
        let body = match read_eager_body(options, self.peer, &mut head, &mut incoming).await {
            Ok(body) => body,
            Err(kind) => {
                if kind == ErrorKind::Busy {
                    self.count("listener.body.refused");
                }
                return self.refusal(&head, kind);
            }
        };
        let mut stream_charge = Bytes::new();
        let (body, reading) = match body {
            EagerBody::Whole(bytes) => {
                self.ahead.borrow_mut().set_body_incomplete(false);
                (RequestBody::Whole(bytes), None)
            }
            EagerBody::Long {
                length_bytes,
                charge,
            } => {
                stream_charge = charge;
                let (sender, parts) = async_channel::bounded(BODY_RING_COUNT);
                let reading = read_body(incoming, sender, options.stall_timeout);
                let body = RequestBody::Parts {
                    length_bytes,
                    parts,
                };
                (body, Some(reading))
            }
        };
        let Some((answer, watch)) = self.deliver(&head, body) else {
            return self.refusal(&head, ErrorKind::Busy);
        };
        let answering = std::pin::pin!(answer);
        let answered = match reading {
            None => answering.await,
            Some(reading) => match select(answering, std::pin::pin!(reading)).await {
                Either::Left((answered, _)) => answered,
                Either::Right((whole, answering)) => {
                    self.ahead.borrow_mut().set_body_incomplete(!whole);
                    answering.await
                }
            },
        };
        drop(stream_charge);
        watch.answered();
        // An exchange that was dropped unanswered is an internal error.
        answered.unwrap_or_else(|_| self.refusal(&head, ErrorKind::Internal))
    }

    /// Returns the listener's own answer for an error kind.
    fn refusal(&self, head: &RawHead, kind: ErrorKind) -> WholeAnswer {
        self.shared.options.refusals.refuse(head, kind)
    }

    /// Converts an answer to a response, which closes the connection if it can't be used further or
    /// the listener is winding down.
    fn respond(&self, answer: WholeAnswer) -> Response<AnswerBody> {
        let mut response = to_response(answer);
        let winding_down = self.shared.winding_down.load(Ordering::Relaxed);
        let ahead = self.ahead.borrow();
        let ends = winding_down || ahead.is_shed();
        if (ends && !ahead.has_early_requests()) || ahead.body_incomplete() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

/// Sends a body part by part to the channel; returns whether it was read to its end.
async fn read_body(
    mut incoming: Incoming,
    parts: async_channel::Sender<std::io::Result<Bytes>>,
    stall_timeout: Duration,
) -> bool {
    loop {
        let frame = std::pin::pin!(incoming.frame());
        let part = match select(frame, std::pin::pin!(Timer::after(stall_timeout))).await {
            Either::Left((None, _)) => return true,
            Either::Left((Some(Ok(frame)), _)) => match frame.into_data() {
                Ok(data) => Ok(data),
                Err(_) => continue,
            },
            Either::Left((Some(Err(error)), _)) => Err(std::io::Error::other(error)),
            Either::Right(_) => Err(std::io::ErrorKind::TimedOut.into()),
        };
        let failed = part.is_err();
        if parts.send(part).await.is_err() || failed {
            return false;
        }
    }
}

/// Returns the path of a URI with its query.
fn target(uri: &Uri) -> &str {
    uri.path_and_query().map_or("", |target| target.as_str())
}

/// Separates the head of a request from its body.
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
    let head = RawHead {
        method: parts.method.to_string(),
        target: target(&parts.uri).to_owned(),
        headers,
        body_bytes: if chunked {
            None
        } else {
            Some(hyper::body::Body::size_hint(&incoming).exact().unwrap_or(0))
        },
        peer: Some(peer),
        began_at: None,
    };
    (head, incoming)
}

/// Converts an answer to a response. Its framing follows from the body alone: hop-by-hop headers of
/// the answer are dropped, except `Connection`.
fn to_response(answer: WholeAnswer) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(answer.status).ok();
    let status = status.filter(|status| !status.is_informational());
    let mut response = empty_response(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) else {
            continue;
        };
        if name != CONNECTION && is_hop_by_hop_header(name.as_str()) {
            continue;
        }
        response.headers_mut().append(name, value);
    }
    *response.body_mut() = AnswerBody(answer.body);
    response
}

/// Returns a response with this status and an empty body.
fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::default());
    *response.status_mut() = status;
    response
}
