//! Reader between a client's socket and hyper: passes on one request at a time, and detects framing that could
//! hide a second request.
//!
//! A head is passed on once it is complete, and no byte of the next request before the response to the current
//! one is written. It is therefore always known whether a request is in progress when the connection is closed
//! or handed over.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use glenrail_request_lifecycle::client::{Framing, Input};
use glenrail_request_lifecycle::framing::{ChunkPosition, FramingError, FramingLimits, ReadUntil};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection_state::{ConnectionState, Stage};
use crate::counted_socket::CountedSocket;

/// Maximum size in bytes of a request head, and of data that a client sends before it has its response.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of header fields in a request head.
const MAX_HEADERS: usize = 100;

/// Part of a request body that has not been read yet.
#[derive(Clone, Debug)]
enum RemainingBody {
    /// Its length in bytes.
    Length(u64),
    /// It has the chunked coding; hyper decodes what this position has accepted.
    Chunked(ChunkPosition),
    /// hyper rejects the request for its framing.
    Invalid,
}

impl RemainingBody {
    /// Reads the framing of bytes that follow; returns the number of those before the first malformed one.
    fn accept(&mut self, bytes: &[u8]) -> usize {
        match self {
            RemainingBody::Chunked(position) if !position.is_ended() => {
                let accepted = position.read(bytes, ReadUntil::EndOfBody, |_| {});
                // What follows the body belongs to no request that is served.
                if position.is_ended() {
                    bytes.len()
                } else {
                    accepted
                }
            }
            _ => bytes.len(),
        }
    }

    fn framing_error(&self) -> Option<FramingError> {
        match self {
            RemainingBody::Chunked(position) => position.error(),
            RemainingBody::Length(_) | RemainingBody::Invalid => None,
        }
    }
}

/// Socket of a client as hyper reads it.
pub struct RequestReader {
    socket: CountedSocket,
    state: Rc<ConnectionState>,
    /// Bytes that were read from the socket and not passed on to hyper.
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that may be passed on to hyper.
    passable: usize,
    remaining_body: RemainingBody,
    framing_limits: FramingLimits,
}

/// Framing of a request body according to the headers.
struct BodyFraming {
    /// Length in bytes, 0 without a `Content-Length`; `None` if the header cannot be parsed.
    length: Option<u64>,
    /// Whether there is a `Transfer-Encoding`, so that the end is marked in the body itself.
    has_transfer_encoding: bool,
    /// Why the request must be rejected; `None` if the framing is unambiguous.
    fault: Option<&'static str>,
}

impl BodyFraming {
    /// Determines the framing. Ambiguous framing is a fault, because the next server could frame the body
    /// differently and read a second request from it (request smuggling). The service behind hyper cannot
    /// check this, because hyper drops the length before it passes the request on.
    fn of(headers: &[httparse::Header]) -> BodyFraming {
        let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
        let (lengths, encodings) = (named("content-length").count(), named("transfer-encoding").count());
        let fault = match (lengths, encodings) {
            (0 | 1, 0) | (0, 1) => None,
            (_, 0) => Some("Content-Length: given more than once"),
            (0, _) => Some("Transfer-Encoding: given more than once"),
            _ => Some("Content-Length and Transfer-Encoding: one of them wanted, not both"),
        };
        let length = match named("content-length").next() {
            Some(header) => std::str::from_utf8(header.value).ok().and_then(|value| value.parse().ok()),
            None => Some(0),
        };
        BodyFraming { length, has_transfer_encoding: encodings > 0, fault }
    }

    /// Returns the length of the body, if the framing is valid and the body has no transfer encoding.
    fn known_length(&self) -> Option<u64> {
        self.length.filter(|_| self.fault.is_none() && !self.has_transfer_encoding)
    }
}

impl RequestReader {
    /// Creates a reader that reports what it reads to `state`.
    pub fn new(socket: CountedSocket, state: Rc<ConnectionState>, max_body_bytes: usize) -> Self {
        let remaining_body = RemainingBody::Length(0);
        let framing_limits = FramingLimits::request(max_body_bytes as u64);
        RequestReader { socket, state, buffer: Vec::new(), passable: 0, remaining_body, framing_limits }
    }

    /// Looks for a complete head in the buffer, and returns whether bytes may be passed on.
    fn parse_head(&mut self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let head_size = match request.parse(&self.buffer) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if self.buffer.len() < MAX_HEAD_BYTES => return false,
            // A malformed head is passed on unchanged, because hyper writes the error response.
            _ => {
                self.passable = self.buffer.len();
                self.state.feed(Input::MalformedHead);
                // hyper responds to all that was read.
                self.note_buffer();
                self.state.end.note_answered();
                return true;
            }
        };
        let framing = BodyFraming::of(request.headers);
        self.state.framing_fault.set(framing.fault);
        match framing.known_length() {
            Some(length) => self.pass_head(head_size, length),
            None => {
                let is_chunked = framing.has_transfer_encoding;
                self.pass_head_of_unknown_length(head_size, is_chunked);
            }
        }
        true
    }

    /// Passes on a head and the part of its body that is in the buffer.
    fn pass_head(&mut self, head_size: usize, body_length: u64) {
        let buffered = body_length.min((self.buffer.len() - head_size) as u64);
        self.passable = head_size + buffered as usize;
        self.remaining_body = RemainingBody::Length(body_length - buffered);
        let framing = if body_length == buffered { Framing::Complete } else { Framing::KnownLength };
        self.state.feed(Input::HeadComplete(framing));
    }

    /// Passes on a head with a body of unknown length. Only hyper finds the end of a chunked body, so no
    /// request can follow it on this connection.
    fn pass_head_of_unknown_length(&mut self, head_size: usize, is_chunked: bool) {
        self.remaining_body = if is_chunked {
            RemainingBody::Chunked(ChunkPosition::new(self.framing_limits))
        } else {
            RemainingBody::Invalid
        };
        let accepted = self.remaining_body.accept(&self.buffer[head_size..]);
        // Malformed bytes stay unread: the body ends before them with an error.
        self.buffer.truncate(head_size + accepted);
        self.passable = self.buffer.len();
        // hyper stops reading when bytes follow the body, so a later disconnect does not show in reading.
        self.state.stop_reading();
        self.state.feed(Input::HeadComplete(Framing::UnknownLength));
    }

    /// Reads more bytes into the buffer and returns their number, 0 when the client has ended its sending side.
    fn fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let read = ready!(self.socket.poll_read_into(context, &mut self.buffer))
            .inspect_err(|_| self.state.end.note_client_ended())?;
        self.state.end.note_read(read);
        if read > 0 && self.buffer.len() == read {
            self.state.note_first_bytes();
        }
        self.note_buffer();
        Poll::Ready(Ok(read))
    }

    /// Moves bytes that may be passed on from the buffer to `output`, as many as fit.
    fn pass_on(&mut self, output: &mut ReadBuf<'_>) {
        let length = self.passable.min(output.remaining());
        output.put_slice(&self.buffer[..length]);
        self.buffer.drain(..length);
        self.passable -= length;
        self.note_buffer();
    }

    /// Records whether the buffer contains any bytes, and how many of them may not be passed on to hyper yet.
    fn note_buffer(&self) {
        self.state.feed(Input::PipelinedBytes(!self.buffer.is_empty()));
        self.state.end.note_buffered(self.buffer.len() - self.passable);
    }

    /// Reads a body directly into hyper's buffer, up to the end of the body if its length is known.
    fn poll_body(&mut self, context: &mut Context<'_>, output: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let RemainingBody::Length(remaining) = &mut self.remaining_body else {
            return self.poll_body_of_unknown_length(context, output);
        };
        let max_length = output.remaining().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
        let mut part = ReadBuf::new(output.initialize_unfilled_to(max_length));
        ready!(Pin::new(&mut self.socket).poll_read(context, &mut part))
            .inspect_err(|_| self.state.end.note_client_ended())?;
        let read = part.filled().len();
        self.state.note_body_read(read);
        *remaining -= read as u64;
        if *remaining == 0 && self.state.stage() == Stage::Body {
            self.state.feed(Input::BodyComplete);
        }
        output.advance(read);
        Poll::Ready(Ok(()))
    }

    /// Reads a body directly into hyper's buffer, up to the first byte whose framing is malformed.
    fn poll_body_of_unknown_length(
        &mut self, context: &mut Context<'_>, output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let malformed = |error| Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        // What arrives behind a response that was sent before the end of the body is dropped.
        let is_wanted = self.state.stage() == Stage::Body;
        if let Some(error) = self.remaining_body.framing_error().filter(|_| is_wanted) {
            return malformed(error);
        }
        let before = output.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, output))
            .inspect_err(|_| self.state.end.note_client_ended())?;
        let read = output.filled().len() - before;
        self.state.note_body_read(read);
        if !is_wanted {
            return Poll::Ready(Ok(()));
        }
        let accepted = self.remaining_body.accept(&output.filled()[before..]);
        output.set_filled(before + accepted);
        match self.remaining_body.framing_error() {
            Some(error) if accepted == 0 => malformed(error),
            _ => Poll::Ready(Ok(())),
        }
    }

    fn note_write<T>(&self, written: Poll<T>) -> Poll<T> {
        self.state.feed(Input::WriteBlocked(written.is_pending()));
        written
    }
}

impl AsyncRead for RequestReader {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let reader = self.get_mut();
        loop {
            if reader.passable > 0 {
                reader.pass_on(output);
                return Poll::Ready(Ok(()));
            }
            match reader.state.stage() {
                Stage::New | Stage::Head | Stage::Idle => {
                    if !reader.buffer.is_empty() && reader.parse_head() {
                        continue;
                    }
                    if ready!(reader.fill(context))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    reader.state.feed(Input::HeadStarted);
                }
                Stage::Response => {
                    // Reads only to notice a disconnect of the client. What the client sends ahead is buffered,
                    // up to a limit.
                    if reader.buffer.len() >= MAX_HEAD_BYTES {
                        reader.state.stop_reading();
                        return Poll::Pending;
                    }
                    if ready!(reader.fill(context))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                // After a handover this process does not read the connection any more.
                Stage::HandedOver => return Poll::Pending,
                Stage::Body | Stage::Closing => return reader.poll_body(context, output),
            }
        }
    }
}

impl AsyncWrite for RequestReader {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.note_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.note_write(written)
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
