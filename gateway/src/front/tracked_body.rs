//! The body of an answer on its way to a client.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::connection_watch::ConnectionWatch;
use super::Body;
use crate::metrics::{RequestCounter, RequestOutcome};
use crate::upgrade::transferred::TransferredStream;

/// The body of an answer, which tells its connection when it is out.
pub struct TrackedBody {
    pub body: Body,
    pub watch: Rc<ConnectionWatch>,
    /// It goes out in chunks, as to every client but those of HTTP/1.0.
    pub chunked: bool,
    /// Counts the request when its stream has ended.
    pub tally: Option<RequestCounter>,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.watch.answered();
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Body::HandedOver(rest) = &mut self.body {
            let rest = rest.take();
            let class = self.tally.take().map(|t| t.class());
            if let Some(rest) = rest {
                if !self.chunked {
                    return Poll::Ready(Some(Err(io::Error::other(
                        "no chunks, so nobody can go on with it",
                    ))));
                }
                self.watch.leave(TransferredStream { remainder: rest, class });
            }
        }
        let frame = ready!(frame);
        let outcome = match &frame {
            Some(Ok(_)) => None,
            Some(Err(_)) => Some(RequestOutcome::Faulted),
            None => Some(RequestOutcome::Fulfilled),
        };
        if let Some((tally, outcome)) = outcome.and_then(|o| self.tally.take().map(|t| (t, o))) {
            tally.count(outcome);
        }
        Poll::Ready(frame)
    }
    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
