//! Bodies of answers to peers.

use super::server::ForwardGuard;
use crate::endpoint::AnswerConnection;
use crate::node::EntryNode;
use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Body of an answer to a peer: complete, or an endpoint's as it arrives.
pub(crate) type PeerBody = Either<Full<Bytes>, ForwardedBody>;

/// Body of an endpoint's answer; returns the connection to the pool at its end.
#[derive(Debug)]
pub(crate) struct ForwardedBody {
    node: Rc<EntryNode>,
    incoming: Incoming,
    /// Connection of the answer; `None` once the answer is complete.
    connection: Option<AnswerConnection>,
    _guard: ForwardGuard,
}

impl ForwardedBody {
    pub(super) const fn new(
        node: Rc<EntryNode>,
        incoming: Incoming,
        connection: AnswerConnection,
        guard: ForwardGuard,
    ) -> Self {
        Self {
            node,
            incoming,
            connection: Some(connection),
            _guard: guard,
        }
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        // A body with a length is not polled again after its last frame.
        let is_complete = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.incoming.is_end_stream(),
            _ => false,
        };
        if is_complete && let Some(connection) = self.connection.take() {
            connection.finish(&self.node);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
