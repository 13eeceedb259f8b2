//! Bodies of requests that are sent.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use hyper::body::{Body, Frame, SizeHint};

use crate::wire::exchange::BodyParts;

/// The body of a request.
pub enum OutgoingBody {
    /// All of it.
    Whole(Bytes),
    /// Parts that still come from the caller.
    Parts {
        /// Its length. Without one, the end of the parts could not be told from a cut.
        length_bytes: u64,
        /// The parts.
        parts: BodyParts,
    },
}

/// A body on its way out.
pub(super) struct SentBody {
    source: Source,
    /// Bytes that are still to come.
    left_bytes: u64,
    /// Set if the source ended early.
    short: Rc<Cell<bool>>,
}

enum Source {
    Whole(Option<Bytes>),
    Parts(Pin<Box<BodyParts>>),
}

impl SentBody {
    /// Both ends: the body, and whether its source ended early.
    pub(super) fn new(body: OutgoingBody) -> (SentBody, Rc<Cell<bool>>) {
        let short = Rc::new(Cell::new(false));
        let (source, left_bytes) = match body {
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
        let body = SentBody {
            source,
            left_bytes,
            short: short.clone(),
        };
        (body, short)
    }

    fn next_part(&mut self, context: &mut Context<'_>) -> Poll<Option<std::io::Result<Bytes>>> {
        match &mut self.source {
            Source::Whole(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Source::Parts(parts) => parts.as_mut().poll_next(context),
        }
    }
}

impl Body for SentBody {
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
            None if self.left_bytes == 0 => return Poll::Ready(None),
            None => Err(std::io::ErrorKind::UnexpectedEof.into()),
            Some(part) => part,
        };
        match bytes {
            Ok(bytes) => {
                let length = bytes.len() as u64;
                self.left_bytes = self.left_bytes.saturating_sub(length);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Err(error) => {
                self.short.set(true);
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.left_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes)
    }
}
