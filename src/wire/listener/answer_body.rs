//! Body of an answer that is passed to the HTTP library in parts.
//!
//! The library copies what it is passed into its write buffer, and keeps the capacity of that buffer
//! for the rest of the connection.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Greatest length of a part.
const PART_BYTES: usize = 16 * 1024;

/// The bytes of a body that the library has not taken yet.
#[derive(Default)]
pub(super) struct AnswerBody(pub(super) Bytes);

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let part_bytes = PART_BYTES.min(self.0.len());
        let part = self.0.split_to(part_bytes);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}
