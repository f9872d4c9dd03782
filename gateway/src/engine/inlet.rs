//! What a server says, as hyper reads it: the head of an answer passes once it is whole, and the interim answers
//! in front of it are left out. hyper would take a 101 for an upgrade, and has no bound in time for a head.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

use crate::wire::Wire;

/// Most bytes of a head, and of all interim answers in front of it.
const HEAD: usize = 16 << 10;
const HEADERS: usize = 100;
/// A head that has begun must be whole so soon.
const HALF_HEAD: Duration = Duration::from_secs(1);

pub struct Inlet {
    wire: Wire,
    /// A request was sent, and the head of its answer has not come.
    awaited: Rc<Cell<bool>>,
    /// Read and not passed on; so many bytes of it may be.
    ahead: Vec<u8>,
    cleared: usize,
    interim: usize,
    begun: Option<Pin<Box<Sleep>>>,
}

fn unreadable(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Inlet {
    pub fn new(wire: Wire, awaited: Rc<Cell<bool>>) -> Self {
        Inlet { wire, awaited, ahead: Vec::new(), cleared: 0, interim: 0, begun: None }
    }

    /// Looks for a final head in what has been read; without one, more has to come.
    fn examine(&mut self) -> io::Result<bool> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(&self.ahead) {
                Ok(httparse::Status::Complete(size)) if matches!(response.code, Some(100..=199)) => {
                    self.ahead.drain(..size);
                    self.interim += size;
                }
                Ok(httparse::Status::Complete(_)) => {
                    (self.cleared, self.interim, self.begun) = (self.ahead.len(), 0, None);
                    self.awaited.set(false);
                    return Ok(true);
                }
                Ok(httparse::Status::Partial) if self.ahead.len() + self.interim < HEAD => return Ok(false),
                Ok(httparse::Status::Partial) => return Err(unreadable("a head does not end")),
                Err(_) => return Err(unreadable("no head of an answer")),
            }
        }
    }
}

impl AsyncRead for Inlet {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        loop {
            if me.cleared > 0 {
                let n = me.cleared.min(buf.remaining());
                buf.put_slice(&me.ahead[..n]);
                me.ahead.drain(..n);
                me.cleared -= n;
                return Poll::Ready(Ok(()));
            }
            if !me.awaited.get() {
                me.ahead = Vec::new();
                return Pin::new(&mut me.wire).poll_read(cx, buf);
            }
            let mut space = [0; 4096];
            let mut part = ReadBuf::new(&mut space);
            if Pin::new(&mut me.wire).poll_read(cx, &mut part)?.is_pending() {
                let begun = me.begun.as_mut().filter(|_| !me.ahead.is_empty());
                let Some(begun) = begun else { return Poll::Pending };
                ready!(begun.as_mut().poll(cx));
                return Poll::Ready(Err(unreadable("a head does not end in time")));
            }
            if part.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            me.ahead.extend_from_slice(part.filled());
            if !me.examine()? && me.begun.is_none() {
                me.begun = Some(Box::pin(sleep(HALF_HEAD)));
            }
        }
    }
}

impl AsyncWrite for Inlet {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.wire).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.wire).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        self.wire.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.wire).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.wire).poll_shutdown(cx)
    }
}
