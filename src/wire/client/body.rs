//! Request bodies of the client, complete or streamed from the caller.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use hyper::body::{Body, Frame, SizeHint};

use crate::wire::exchange::BodyParts;

/// The body of a call.
pub enum OutgoingBody {
    /// The complete body is available.
    Whole(Bytes),
    /// The body is still arriving from the caller.
    Parts {
        /// Length of the body. Without it, an early end could not be distinguished from the end.
        length_bytes: u64,
        /// The parts of the body, in order.
        parts: BodyParts,
    },
}

/// A body that is being sent by the HTTP library.
pub(super) struct BodyStream {
    source: Source,
    /// Bytes that are still to be sent.
    remaining_bytes: u64,
    /// Set if the source ended before the length was reached.
    ended_early: Rc<Cell<bool>>,
}

/// Where the bytes of a body come from.
enum Source {
    Whole(Option<Bytes>),
    Parts(Pin<Box<BodyParts>>),
}

impl BodyStream {
    /// Returns the stream of a body, and a flag that is set if its source ends early.
    pub(super) fn new(body: OutgoingBody) -> (BodyStream, Rc<Cell<bool>>) {
        let ended_early = Rc::new(Cell::new(false));
        let (source, remaining_bytes) = match body {
            OutgoingBody::Whole(bytes) => {
                let length = bytes.len() as u64;
                let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
                (Source::Whole(bytes), length)
            }
            OutgoingBody::Parts {
                length_bytes,
                parts,
            } => (Source::Parts(Box::pin(parts)), length_bytes),
        };
        let body = BodyStream {
            source,
            remaining_bytes,
            ended_early: ended_early.clone(),
        };
        (body, ended_early)
    }

    /// Polls the source for the next bytes; `None` at its end.
    fn next_part(&mut self, context: &mut Context<'_>) -> Poll<Option<std::io::Result<Bytes>>> {
        match &mut self.source {
            Source::Whole(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Source::Parts(parts) => parts.as_mut().poll_next(context),
        }
    }
}

impl Body for BodyStream {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let part = match self.next_part(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(part) => part,
        };
        let bytes = match part {
            None if self.remaining_bytes == 0 => return Poll::Ready(None),
            None => Err(std::io::ErrorKind::UnexpectedEof.into()),
            Some(part) => part,
        };
        match bytes {
            Ok(bytes) => {
                let length = bytes.len() as u64;
                self.remaining_bytes = self.remaining_bytes.saturating_sub(length);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Err(error) => {
                self.ended_early.set(true);
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}
