//! Response bodies sent to callers.

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

#[cfg(test)]
mod tests;

/// The endpoint's answer ended early; the caller's connection is closed before the end of
/// the body.
#[derive(Debug, Display, Error, Clone, Copy)]
#[display("the endpoint's answer ended before it was complete")]
pub(crate) struct BrokenAnswer;

/// Part of a relayed body.
#[derive(Debug)]
pub(crate) enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// End of a complete body.
    End,
}

/// Response body that is complete, or relayed part by part.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Complete(Option<Bytes>),
    Relayed(RelayedBody),
}

/// Body that arrives in parts; broken if its relay goes away before it has sent the end.
#[derive(Debug)]
pub(crate) struct RelayedBody {
    parts: mpsc::Receiver<BodyPart>,
    /// Whether data was returned that may not have been written to the connection.
    is_unflushed: bool,
}

impl AnswerBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }

    pub(crate) const fn relayed(parts: mpsc::Receiver<BodyPart>) -> Self {
        Self::Relayed(RelayedBody {
            parts,
            is_unflushed: false,
        })
    }
}

impl RelayedBody {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.parts.poll_recv(context) {
            Poll::Ready(Some(BodyPart::Data(bytes))) => {
                self.is_unflushed = true;
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Poll::Ready(Some(BodyPart::End)) => Poll::Ready(None),
            // Hyper drops what it has not written when the body fails, and writes when the
            // body is pending.
            Poll::Ready(None) if std::mem::take(&mut self.is_unflushed) => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(BrokenAnswer))),
            Poll::Pending => {
                self.is_unflushed = false;
                Poll::Pending
            }
        }
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
            Self::Relayed(body) => body.poll_frame(context),
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
