//! Body of a response that notifies its connection when hyper drops it, complete or not, and counts the
//! request.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::connection_state::ConnectionState;
use super::Body;
use crate::exchange::StreamRemainder;
use crate::metrics::{RequestCounter, RequestOutcome};
use crate::upgrade::transferred::TransferredStream;

/// Framing of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Chunked, for all clients except those of HTTP/1.0. Another process can continue between two chunks.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Body of a response, with what has to be notified of its end.
pub struct TrackedBody {
    /// The body that is written.
    pub body: Body,
    /// State of the connection that the body is written on.
    pub state: Rc<ConnectionState>,
    /// Decides whether another process can continue the body.
    pub framing: Framing,
    /// Counts the request when its stream ends; `None` if the request is not counted here.
    pub counter: Option<RequestCounter>,
    /// Whether the end of the stream was passed to hyper.
    pub is_complete: bool,
}

impl TrackedBody {
    /// Stores the remainder of the stream in the connection state, so that another process can continue the
    /// stream and count the request. Fails if the body is not chunked.
    fn detach(&mut self, remainder: StreamRemainder) -> io::Result<()> {
        let class = self.counter.take().map(|counter| counter.class());
        if self.framing == Framing::UntilClose {
            return Err(io::Error::other("a response that is not chunked cannot be handed over"));
        }
        self.state.detach_stream(TransferredStream { remainder, class });
        Ok(())
    }

    fn count(&mut self, outcome: RequestOutcome) {
        if let Some(counter) = self.counter.take() {
            counter.count(outcome);
        }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // hyper takes a full body as a whole.
        if self.is_complete || matches!(self.body, Body::Full(_)) {
            self.state.response_finished();
        } else {
            self.state.response_aborted();
        }
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Body::HandedOver(remainder) = &mut self.body {
            if let Some(remainder) = remainder.take() {
                if let Err(error) = self.detach(remainder) {
                    return Poll::Ready(Some(Err(error)));
                }
            }
        }
        let frame = ready!(frame);
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.count(RequestOutcome::Faulted),
            None => {
                self.is_complete = true;
                self.count(RequestOutcome::Fulfilled);
            }
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
