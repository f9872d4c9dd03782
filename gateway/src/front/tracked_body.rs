//! The body of a response on its way to a client, which tells its connection when it is written and counts the request.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::connection_watch::ConnectionWatch;
use super::Body;
use crate::exchange::StreamRemainder;
use crate::metrics::{RequestCounter, RequestOutcome};
use crate::upgrade::transferred::TransferredStream;

/// The framing of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// In chunks, as to every client but those of HTTP/1.0; another process can go on between two of them.
    Chunked,
    /// Up to the connection's end.
    UntilClose,
}

/// The body of a response.
pub struct TrackedBody {
    /// What is written.
    pub body: Body,
    /// The connection that it is written on.
    pub watch: Rc<ConnectionWatch>,
    /// How it is framed.
    pub framing: Framing,
    /// Counts the request when its stream has ended.
    pub counter: Option<RequestCounter>,
    /// Its end was passed on.
    pub is_complete: bool,
}

impl TrackedBody {
    /// Has the connection keep a stream that another process goes on with. The request is counted there.
    fn detach(&mut self, remainder: StreamRemainder) -> io::Result<()> {
        let class = self.counter.take().map(|counter| counter.class());
        if self.framing == Framing::UntilClose {
            return Err(io::Error::other("no chunks, so nobody can go on with it"));
        }
        self.watch.detach_stream(TransferredStream { remainder, class });
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
        // A full body is handed to hyper at once.
        if self.is_complete || matches!(self.body, Body::Full(_)) {
            self.watch.response_finished();
        } else {
            self.watch.response_aborted();
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
