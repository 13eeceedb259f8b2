//! One connection: reads requests, hands them out, and sends the answers back.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::{Async, Timer};
use futures::channel::oneshot;
use futures::future::{select, Either};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::exchange::{LeaveWatch, ListenerExchange};
use super::linger::linger;
use super::read_ahead::{self, AheadStream, HandedOut, ReadAhead};
use super::Shared;
use crate::error::ErrorKind;
use crate::wire::exchange::{RawHead, RequestBody, WholeAnswer};
use crate::wire::http::is_hop_by_hop_header;

/// One accepted connection.
pub(super) struct Connection {
    peer: SocketAddr,
    shared: Rc<Shared>,
    ahead: Rc<RefCell<ReadAhead>>,
    /// Whether the caller may still send the body of the present request. Once that request is
    /// answered, the connection carries no other.
    owes_body: Cell<bool>,
}

/// What is read of a body before its request is handed out.
enum FirstRead {
    /// All of it.
    Whole(Bytes),
    /// Nothing, as it is long.
    Long { length_bytes: u64 },
}

/// A head that is not there by then ends the connection; an idle connection has no such limit.
const HEAD_LIMIT: Duration = Duration::from_secs(30);
/// A head that is longer is answered with 431.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;
const MAX_HEADER_COUNT: usize = 200;
/// A body that is read whole and is not there by then is given up.
const EAGER_BODY_LIMIT: Duration = Duration::from_secs(10);
/// A caller that sends nothing of its body for this time has its upload given up.
const STALL_LIMIT: Duration = Duration::from_secs(10);
/// Parts of a body that are read ahead of the thread that takes them.
const BODY_RING_COUNT: usize = 4;

impl Connection {
    pub(super) fn new(peer: SocketAddr, shared: Rc<Shared>) -> Connection {
        Connection {
            peer,
            shared,
            ahead: Rc::default(),
            owes_body: Cell::default(),
        }
    }

    /// Serves the connection to its end. A request that waits when the caller leaves is dropped,
    /// which tells whoever watches its exchange.
    pub(super) async fn run(self, stream: Async<TcpStream>) {
        let stream = Rc::new(stream);
        let hand_out = |head| self.hand_out(head);
        let reading = std::pin::pin!(read_ahead::pump(&stream, &self.ahead, &hand_out));
        let serving = std::pin::pin!(self.serve(stream.clone()));
        if let Either::Left(_) = select(serving, reading).await {
            if self.owes_body.get() {
                linger(&stream).await;
            }
        }
    }

    async fn serve(&self, stream: Rc<Async<TcpStream>>) {
        let stream = AheadStream {
            stream,
            ahead: self.ahead.clone(),
        };
        let service = service_fn(|request| self.answer(request));
        let serving = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(HEAD_LIMIT)
            .max_buf_size(HEAD_LIMIT_BYTES)
            .max_headers(MAX_HEADER_COUNT)
            .serve_connection(FuturesIo::new(stream), service);
        let ended = std::pin::pin!(self.ended());
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

    /// Waits until the listener is closed and the requests that were handed out are answered.
    async fn ended(&self) {
        // The channel only ever closes.
        let _ = self.shared.closed.recv().await;
        read_ahead::settled(&self.ahead).await;
    }

    /// Hands a request out before its turn; not while the connection is about to end.
    fn hand_out(&self, head: RawHead) -> Option<HandedOut> {
        let shared = &self.shared;
        if shared.winding_down.load(Ordering::Relaxed) || shared.closed.is_closed() {
            return None;
        }
        let head = RawHead {
            peer: Some(self.peer),
            ..head
        };
        // Without room it waits its turn, and is refused then if there is still none.
        let (answer, watch) = self.offer(&head, RequestBody::Whole(Bytes::new()))?;
        Some(HandedOut {
            head,
            answer,
            watch,
        })
    }

    /// Offers a request to whoever takes them from the listener; nothing without room.
    fn offer(
        &self,
        head: &RawHead,
        body: RequestBody,
    ) -> Option<(oneshot::Receiver<WholeAnswer>, LeaveWatch)> {
        let (answer_sender, answer) = oneshot::channel();
        let (watch, watched) = LeaveWatch::new();
        let exchange = ListenerExchange::new(body, answer_sender, watched);
        let arrival = (head.clone(), Box::new(exchange) as Box<_>);
        self.shared.arrivals.try_send(arrival).ok()?;
        Some((answer, watch))
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let handed_out = self.ahead.borrow_mut().next();
        let answer = match handed_out {
            Some(handed_out) => self.handed_out_answer(handed_out, request).await,
            None => self.answer_in_turn(request).await,
        };
        self.ahead.borrow_mut().answered();
        Ok(self.respond(answer))
    }

    /// The answer to a request that was handed out before its turn.
    async fn handed_out_answer(
        &self,
        handed_out: HandedOut,
        request: Request<Incoming>,
    ) -> WholeAnswer {
        let HandedOut {
            head,
            answer,
            watch,
        } = handed_out;
        let alike =
            request.method().as_str() == head.method && target(request.uri()) == head.target;
        if !alike {
            let (read, _) = take_head(request, self.peer);
            log::error!("a connection's requests were read in two ways; it is closed");
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

    async fn answer_in_turn(&self, request: Request<Incoming>) -> WholeAnswer {
        let (mut head, mut incoming) = take_head(request, self.peer);
        self.owes_body.set(true);
        let body = match self.first_read(&mut head, &mut incoming).await {
            Ok(body) => body,
            Err(kind) => return self.refusal(&head, kind),
        };
        let (body, reading) = match body {
            FirstRead::Whole(bytes) => {
                self.owes_body.set(false);
                (RequestBody::Whole(bytes), None)
            }
            FirstRead::Long { length_bytes } => {
                let (sender, parts) = async_channel::bounded(BODY_RING_COUNT);
                let reading = read_body(incoming, sender);
                let body = RequestBody::Parts {
                    length_bytes,
                    parts,
                };
                (body, Some(reading))
            }
        };
        let Some((answer, watch)) = self.offer(&head, body) else {
            return self.refusal(&head, ErrorKind::Busy);
        };
        let answering = std::pin::pin!(answer);
        let answered = match reading {
            None => answering.await,
            Some(reading) => match select(answering, std::pin::pin!(reading)).await {
                Either::Left((answered, _)) => answered,
                Either::Right((whole, answering)) => {
                    self.owes_body.set(!whole);
                    answering.await
                }
            },
        };
        watch.answered();
        // An exchange that was dropped unanswered is a fault of the daemon.
        answered.unwrap_or_else(|_| self.refusal(&head, ErrorKind::Internal))
    }

    /// Reads a body whole before the request is handed out, so that a slow sender of one holds
    /// nothing of the daemon. A longer body is left to be read in parts.
    async fn first_read(
        &self,
        head: &mut RawHead,
        incoming: &mut Incoming,
    ) -> Result<FirstRead, ErrorKind> {
        let options = &self.shared.options;
        let limit_bytes = options.eager_body_limit_bytes;
        match head.body_bytes {
            Some(0) => return Ok(FirstRead::Whole(Bytes::new())),
            Some(length_bytes) if length_bytes > limit_bytes => {
                return Ok(FirstRead::Long { length_bytes });
            }
            None if !options.chunked_bodies => return Err(ErrorKind::LengthRequired),
            _ => {}
        }
        let limited = Limited::new(incoming, limit_bytes as usize);
        let body = std::pin::pin!(limited.collect());
        let late = std::pin::pin!(Timer::after(EAGER_BODY_LIMIT));
        match select(body, late).await {
            Either::Left((Ok(body), _)) => {
                let bytes = body.to_bytes();
                head.body_bytes = Some(bytes.len() as u64);
                Ok(FirstRead::Whole(bytes))
            }
            Either::Left((Err(error), _)) if error.is::<http_body_util::LengthLimitError>() => {
                Err(ErrorKind::BodyTooLarge)
            }
            Either::Left((Err(_), _)) | Either::Right(_) => Err(ErrorKind::ShortUpload),
        }
    }

    fn refusal(&self, head: &RawHead, kind: ErrorKind) -> WholeAnswer {
        self.shared.options.refusals.refuse(head, kind)
    }

    fn respond(&self, answer: WholeAnswer) -> Response<Full<Bytes>> {
        let mut response = to_response(answer);
        let winding_down = self.shared.winding_down.load(Ordering::Relaxed);
        let ends = winding_down && !self.ahead.borrow().owes_more();
        if ends || self.owes_body.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

/// Hands a body on part by part. Says whether it came to its end.
async fn read_body(
    mut incoming: Incoming,
    parts: async_channel::Sender<std::io::Result<Bytes>>,
) -> bool {
    loop {
        let frame = std::pin::pin!(incoming.frame());
        let part = match select(frame, std::pin::pin!(Timer::after(STALL_LIMIT))).await {
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

fn target(uri: &Uri) -> &str {
    uri.path_and_query().map_or("", |target| target.as_str())
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
    };
    (head, incoming)
}

/// The answer as it is sent. Its body alone tells how it is framed.
fn to_response(answer: WholeAnswer) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(answer.status).ok();
    let status = status.filter(|status| !status.is_informational());
    let mut response = status_only(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
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
    *response.body_mut() = Full::new(Bytes::from(answer.body));
    response
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
