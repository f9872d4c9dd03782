//! A gate before hyper that lets one request through at a time and tells of a framing that could hide another.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use glenrail_request_lifecycle::client::{Framing, Input};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection_watch::{ConnectionWatch, Stage};
use crate::counted_socket::CountedSocket;

/// Most bytes of a head, and of what a client sends ahead of its answer.
pub const HEAD: usize = 16 << 10;
const HEADERS: usize = 100;

/// What of a body is still to come.
#[derive(Clone, Copy, Debug)]
enum Rest {
    Length(u64),
    /// Until its service says so.
    Unknown,
}

/// The socket as hyper reads it: a head is passed on once it is whole, and nothing of the next request before the
/// answer to this one is out.
pub struct RequestReader {
    wire: CountedSocket,
    watch: Rc<ConnectionWatch>,
    /// Read and not passed on; so many bytes of it may be.
    ahead: Vec<u8>,
    cleared: usize,
    rest: Rest,
}

impl RequestReader {
    pub fn new(wire: CountedSocket, watch: Rc<ConnectionWatch>) -> Self {
        RequestReader { wire, watch, ahead: Vec::new(), cleared: 0, rest: Rest::Length(0) }
    }

    /// Looks for a whole head in what has been read.
    fn examine(&mut self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let size = match request.parse(&self.ahead) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if self.ahead.len() < HEAD => return false,
            // hyper has the words for it.
            _ => {
                self.cleared = self.ahead.len();
                self.watch.feed(Input::MalformedHead);
                return true;
            }
        };
        let count = |name: &str| request.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).count();
        let (lengths, codings) = (count("content-length"), count("transfer-encoding"));
        // Guards against a request hidden in a body that the next reader frames otherwise. hyper would drop the
        // length before its service could see it.
        let fault = match (lengths, codings) {
            (0 | 1, 0) | (0, 1) => None,
            (_, 0) => Some("Content-Length: given more than once"),
            (0, _) => Some("Transfer-Encoding: given more than once"),
            _ => Some("Content-Length and Transfer-Encoding: one of them wanted, not both"),
        };
        let length = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
        let length = length.map_or(Some(0), |h| std::str::from_utf8(h.value).ok()?.parse::<u64>().ok());
        self.watch.fault.set(fault);
        let body = self.ahead.len() - size;
        match length {
            Some(length) if fault.is_none() && codings == 0 => {
                let here = length.min(body as u64);
                self.cleared = size + here as usize;
                self.rest = Rest::Length(length - here);
                self.watch.feed(Input::HeadComplete(if length == here {
                    Framing::Complete
                } else {
                    Framing::KnownLength
                }));
            }
            // Where a chunked body ends is hyper's to find, so nothing may follow it here.
            _ => {
                self.cleared = self.ahead.len();
                self.rest = Rest::Unknown;
                // hyper reads no further than bytes that lie behind the body.
                self.watch.stops_reading();
                self.watch.feed(Input::HeadComplete(Framing::UnknownLength));
            }
        }
        true
    }

    /// Reads more into `ahead`; 0 at the end of what the client sends.
    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut space = [MaybeUninit::uninit(); 4096];
        let mut part = ReadBuf::uninit(&mut space);
        ready!(Pin::new(&mut self.wire).poll_read(cx, &mut part))?;
        self.ahead.extend_from_slice(part.filled());
        self.watch.feed(Input::PipelinedBytes(!self.ahead.is_empty()));
        Poll::Ready(Ok(part.filled().len()))
    }

    fn note<T>(&self, written: Poll<T>) -> Poll<T> {
        self.watch.feed(Input::WriteBlocked(written.is_pending()));
        written
    }
}

impl AsyncRead for RequestReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        loop {
            if me.cleared > 0 {
                let n = me.cleared.min(buf.remaining());
                buf.put_slice(&me.ahead[..n]);
                me.ahead.drain(..n);
                me.cleared -= n;
                me.watch.feed(Input::PipelinedBytes(!me.ahead.is_empty()));
                return Poll::Ready(Ok(()));
            }
            match me.watch.stage() {
                Stage::New | Stage::Head | Stage::Idle => {
                    if !me.ahead.is_empty() && me.examine() {
                        continue;
                    }
                    if ready!(me.fill(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    me.watch.feed(Input::HeadStarted);
                }
                Stage::Response => {
                    // Read only to see the client go; what it sends ahead of its answer is kept, up to a bound.
                    if me.ahead.len() >= HEAD {
                        me.watch.stops_reading();
                        return Poll::Pending;
                    }
                    if ready!(me.fill(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                // Nobody reads here any more once it is handed over.
                Stage::HandedOver => return Poll::Pending,
                Stage::Body | Stage::Closing => {
                    let Rest::Length(left) = &mut me.rest else {
                        return Pin::new(&mut me.wire).poll_read(cx, buf);
                    };
                    let most = buf.remaining().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
                    ready!(Pin::new(&mut me.wire).poll_read(cx, &mut part))?;
                    let n = part.filled().len();
                    *left -= n as u64;
                    if *left == 0 && me.watch.stage() == Stage::Body {
                        me.watch.feed(Input::BodyComplete);
                    }
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for RequestReader {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.wire).poll_write(cx, buf);
        self.note(written)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.wire).poll_write_vectored(cx, bufs);
        self.note(written)
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
