//! Reader between a connection's socket and hyper. It passes the head of a response to hyper once it is complete, and
//! drops the interim responses (1xx) before it: hyper would treat a 101 as an upgrade. It reports the bytes of a head that
//! is not complete, since hyper has no time limit for one.
//!
//! A chunked body is decoded here, and hyper gets its data in chunks that cannot be malformed: hyper accepts chunks of any
//! stated size, and limits the extensions of a whole body together.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use glenrail_request_lifecycle::framing::{FramingLimits, ResponseFraming};
use glenrail_request_lifecycle::response_timing::Progress;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::body_read_state::BodyReadState;
use super::write_gate::WriteGate;
use crate::counted_socket::CountedSocket;
use crate::response_clock::ResponseClock;
use crate::upstream::Malformation;

/// Maximum size in bytes of a response head together with all interim responses before it.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum number of headers in a response head.
const MAX_HEADERS: usize = 100;

/// Maximum number of bytes of a body that are decoded at once.
const BODY_READ_BYTES: usize = 16 << 10;

/// The socket of a connection as hyper reads and writes it.
pub struct ResponseReader {
    socket: CountedSocket,
    gate: Rc<WriteGate>,
    /// Whether a request was sent and the head of its response has not been received.
    awaiting_head: Rc<Cell<bool>>,
    /// Bytes that were read from the socket and not yet passed to hyper.
    buffered: Vec<u8>,
    /// Number of buffered bytes that may be passed to hyper; 0 until the head is complete.
    deliverable: usize,
    /// Number of bytes of interim responses received before the current head.
    interim_bytes: usize,
    body_state: Rc<BodyReadState>,
    clock: ResponseClock,
}

fn malformed(malformation: Malformation) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, malformation)
}

/// Returns the framing of a response's body.
fn framing(response: &httparse::Response<'_, '_>) -> io::Result<ResponseFraming> {
    let headers = response.headers.iter().map(|header| (header.name, header.value));
    let framing = ResponseFraming::of(response.code.unwrap_or_default(), headers, FramingLimits::RESPONSE);
    framing.map_err(|error| malformed(Malformation::Framing(error)))
}

impl ResponseReader {
    /// Creates the reader of a new connection.
    pub fn new(
        socket: CountedSocket, gate: Rc<WriteGate>, awaiting_head: Rc<Cell<bool>>,
        body_state: Rc<BodyReadState>, clock: ResponseClock,
    ) -> Self {
        ResponseReader {
            socket,
            gate,
            awaiting_head,
            buffered: Vec::new(),
            deliverable: 0,
            interim_bytes: 0,
            body_state,
            clock,
        }
    }

    /// Searches the buffered bytes for a final head and drops interim responses. Returns false if more bytes are needed.
    fn find_head(&mut self) -> io::Result<bool> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(&self.buffered) {
                Ok(httparse::Status::Complete(size)) if matches!(response.code, Some(100..=199)) => {
                    self.buffered.drain(..size);
                    self.interim_bytes += size;
                    self.clock.observe(Progress::InterimHead);
                }
                Ok(httparse::Status::Complete(size)) => {
                    self.body_state.begin_body(framing(&response)?);
                    let body = self.buffered.split_off(size);
                    self.body_state.decode(&body, &mut self.buffered);
                    self.deliverable = self.buffered.len();
                    self.interim_bytes = 0;
                    self.clock.observe(Progress::HeadComplete);
                    self.awaiting_head.set(false);
                    return Ok(true);
                }
                Ok(httparse::Status::Partial)
                    if self.buffered.len() + self.interim_bytes < MAX_HEAD_BYTES =>
                {
                    return Ok(false);
                }
                Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
                    return Err(malformed(Malformation::HeadTooLong));
                }
                Err(_) => return Err(malformed(Malformation::HeadUnreadable)),
            }
        }
    }

    /// Reads until a final head is complete. Returns false if the server closes its direction before.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        loop {
            let read = ready!(self.socket.poll_read_into(context, &mut self.buffered))?;
            if read == 0 {
                return Poll::Ready(Ok(false));
            }
            if self.find_head()? {
                return Poll::Ready(Ok(true));
            }
            if !self.buffered.is_empty() {
                self.clock.observe(Progress::HeadBytes);
            }
        }
    }

    /// Passes buffered bytes to hyper.
    fn deliver_buffered(&mut self, buffer: &mut ReadBuf<'_>) {
        let count = self.deliverable.min(buffer.remaining());
        buffer.put_slice(&self.buffered[..count]);
        self.buffered.drain(..count);
        self.deliverable -= count;
    }

    /// Reads a chunked body and decodes it, up to the end of the current chunk if a pause was requested. Returns once there is
    /// something to deliver, or the server has closed its direction.
    fn poll_chunks(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let body_state = self.body_state.clone();
        while self.buffered.is_empty() {
            if let Some(error) = body_state.framing_error() {
                return Poll::Ready(Err(malformed(Malformation::Framing(error))));
            }
            if body_state.poll_paused(context) {
                return Poll::Pending;
            }
            let mut read_ahead = body_state.read_ahead.borrow_mut();
            if !read_ahead.is_empty() {
                let decoded = body_state.decode(&read_ahead, &mut self.buffered);
                read_ahead.drain(..decoded);
                continue;
            }
            let mut space = [MaybeUninit::uninit(); BODY_READ_BYTES];
            let mut read = ReadBuf::uninit(&mut space);
            ready!(Pin::new(&mut self.socket).poll_read(context, &mut read))?;
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            let decoded = body_state.decode(read.filled(), &mut self.buffered);
            read_ahead.extend_from_slice(&read.filled()[decoded..]);
        }
        self.deliverable = self.buffered.len();
        Poll::Ready(Ok(()))
    }

    /// Writes if the gate permits it, and disarms the gate once the first byte has been written.
    fn poll_gated(
        &mut self, write: impl FnOnce(Pin<&mut CountedSocket>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.gate.check(|| self.buffered.is_empty() && self.socket.read_would_block())?;
        let written = write(Pin::new(&mut self.socket));
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.gate.disarm();
        }
        written
    }
}

impl AsyncRead for ResponseReader {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let reader = self.get_mut();
        if reader.deliverable == 0 && reader.awaiting_head.get() && !ready!(reader.poll_head(context))? {
            return Poll::Ready(Ok(()));
        }
        if reader.deliverable > 0 {
            reader.deliver_buffered(buffer);
            return Poll::Ready(Ok(()));
        }
        reader.buffered = Vec::new();
        if !reader.body_state.is_in_chunked_body() {
            return Pin::new(&mut reader.socket).poll_read(context, buffer);
        }
        ready!(reader.poll_chunks(context))?;
        reader.deliver_buffered(buffer);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ResponseReader {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_gated(|socket| socket.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_gated(|socket| socket.poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
