//! Response bodies sent to callers.

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The endpoint's answer ended early; the caller's connection is closed before the end of
/// the body.
#[derive(Debug, Display, Error, Clone, Copy)]
#[display("the endpoint's answer ended before it was complete")]
pub(crate) struct BrokenAnswer;

/// Response body that is complete, or relayed chunk by chunk.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Complete(Option<Bytes>),
    Relayed(mpsc::Receiver<Result<Bytes, BrokenAnswer>>),
}

impl AnswerBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.get_mut() {
            Self::Complete(bytes) => {
                let frame = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(frame.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Relayed(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}
