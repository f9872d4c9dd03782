//! Client side of a persistent connection: requests are written in one or several pieces, alone or pipelined, and responses are
//! read one after the other, each completely.

use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, Socket};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::clock::{self, Micros};
use crate::unread;

const READ_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;
/// Text with which each event of a stream begins.
const EVENT_MARK: &[u8] = b"data:";

/// Response as received by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    pub status: u16,
    /// Whether the whole body was received.
    pub complete: bool,
    /// Whether the connection cannot be used after it.
    pub closes_connection: bool,
}

/// How a connection ended on which a request had no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Closed in order; the gateway has not read the request.
    Unread,
    /// Closed in order; the gateway has read a part of the request.
    PartlyRead,
    /// Closed in order; the gateway has read the whole request.
    Read,
    /// Reset, or the gateway's end no longer exists; how much the gateway has read is unknown.
    Reset,
    /// Closed in order; the kernel did not report the unread bytes.
    Unknown,
}

/// Progress of a write in pieces, which is incomplete if the connection ended before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteProgress {
    /// Time before the first byte was written.
    pub began_at: Micros,
    /// Total bytes after each piece, and when the piece had been written.
    pieces: Vec<(usize, Micros)>,
}

impl WriteProgress {
    /// Returns the number of bytes written.
    pub fn bytes(&self) -> usize {
        self.pieces.last().map_or(0, |(bytes, _)| *bytes)
    }

    /// Returns when the first `bytes` bytes had been written, if they were.
    pub fn written_at(&self, bytes: usize) -> Option<Micros> {
        self.pieces.iter().find(|(written, _)| *written >= bytes).map(|(_, at)| *at)
    }
}

/// Connection to a gateway that carries one request after the other.
pub struct PersistentConnection {
    socket: TcpStream,
    address: SocketAddr,
    client_address: SocketAddr,
    connected_at: Micros,
    /// Bytes that were received and not yet consumed as part of a response.
    buffer: Vec<u8>,
    /// When each event of the current response was received.
    events: Vec<Micros>,
    /// The last bytes received, which may be the beginning of an event's mark.
    unsearched: Vec<u8>,
}

impl PersistentConnection {
    pub async fn open(address: SocketAddr) -> io::Result<PersistentConnection> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (connected_at, client_address) = (clock::now(), socket.local_addr()?);
        Ok(PersistentConnection {
            socket,
            address,
            client_address,
            connected_at,
            buffer: Vec::new(),
            events: Vec::new(),
            unsearched: Vec::new(),
        })
    }

    /// Returns the client's own address, by which the gateway's log identifies the connection.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// Returns when the connection was established.
    pub fn connected_at(&self) -> Micros {
        self.connected_at
    }

    /// Returns a duplicate of the socket, such as a process holds while it is being started.
    pub fn clone_socket(&self) -> io::Result<Socket> {
        SockRef::from(&self.socket).try_clone()
    }

    /// Closes the connection so that the gateway observes its end at once.
    pub fn close(self) {
        // Dropping the socket is not enough: a process that is being started holds duplicates of all sockets until it executes
        // its program. An error means that the gateway has already closed the connection.
        let _ = SockRef::from(&self.socket).shutdown(Shutdown::Both);
    }

    /// Returns whether the gateway has closed or reset the idle connection.
    pub fn has_ended(&self) -> bool {
        // Peeks at the socket itself, because the runtime may not have processed its events yet.
        match SockRef::from(&self.socket).peek(&mut [MaybeUninit::uninit()]) {
            Ok(peeked) => peeked == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Writes `bytes` in this many pieces with pauses between them, and stops once the gateway has closed the connection. A close
    /// that crosses the last piece is detected when the response is read.
    pub async fn write(&mut self, bytes: &[u8], pieces: usize, pause: Duration) -> WriteProgress {
        let size = bytes.len().div_ceil(pieces.max(1)).max(1);
        let mut progress = WriteProgress { began_at: clock::now(), pieces: Vec::new() };
        for (index, piece) in bytes.chunks(size).enumerate() {
            if index > 0 {
                sleep(pause).await;
            }
            if self.has_ended() || self.socket.write_all(piece).await.is_err() {
                break;
            }
            progress.pieces.push((progress.bytes() + piece.len(), clock::now()));
        }
        progress
    }

    /// Returns whether the gateway, which has closed the connection, may have read some of the `written` bytes.
    pub fn may_be_partly_read(&self, written: usize) -> bool {
        let unread = unread::unread_bytes_at(self.address, self.client_address);
        written > 0 && !matches!(unread, Ok(Some(unread)) if unread >= written as u64)
    }

    /// Reads the next response completely; `written` is the number of bytes written for requests that have no response yet.
    pub async fn read_response(&mut self, written: usize) -> Result<ClientResponse, ConnectionEnd> {
        let (status, closes_connection, is_chunked, mut remaining) = loop {
            if let Some(head) = self.take_head() {
                break head;
            }
            self.read_more().await.map_err(|reset| self.classify_end(reset, written))?;
        };
        let complete = if is_chunked {
            self.read_chunked_body().await
        } else {
            self.read_sized_body(&mut remaining).await
        };
        Ok(ClientResponse { status, complete, closes_connection: closes_connection || !complete })
    }

    /// Returns when each event of the response that was read last was received, and forgets them.
    pub fn take_event_times(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.events)
    }

    /// Notes the events that begin in these bytes.
    fn note_events(&mut self, bytes: &[u8]) {
        self.unsearched.extend_from_slice(bytes);
        let marks = self.unsearched.windows(EVENT_MARK.len()).filter(|bytes| *bytes == EVENT_MARK).count();
        self.events.extend(std::iter::repeat_n(clock::now(), marks));
        let searched = self.unsearched.len().saturating_sub(EVENT_MARK.len() - 1);
        self.unsearched.drain(..searched);
    }

    /// Returns how the connection ended for a request without a response.
    fn classify_end(&self, reset: bool, written: usize) -> ConnectionEnd {
        if reset {
            return ConnectionEnd::Reset;
        }
        match unread::unread_bytes_at(self.address, self.client_address) {
            Ok(Some(0)) => ConnectionEnd::Read,
            Ok(Some(unread)) if unread < written as u64 => ConnectionEnd::PartlyRead,
            Ok(Some(_)) => ConnectionEnd::Unread,
            Ok(None) => ConnectionEnd::Reset,
            Err(_) => ConnectionEnd::Unknown,
        }
    }

    /// Reads more bytes into the buffer; the error is whether the connection was reset.
    async fn read_more(&mut self) -> Result<(), bool> {
        let mut bytes = [0; READ_BYTES];
        match self.socket.read(&mut bytes).await {
            Ok(0) => Err(false),
            Err(_) => Err(true),
            Ok(read) => {
                self.buffer.extend_from_slice(&bytes[..read]);
                self.note_events(&bytes[..read]);
                Ok(())
            }
        }
    }

    /// Consumes a complete head, and returns its status, whether the connection closes after it, whether the body is chunked, and
    /// the length of the body.
    fn take_head(&mut self) -> Option<(u16, bool, bool, usize)> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let Ok(httparse::Status::Complete(size)) = response.parse(&self.buffer) else { return None };
        let status = response.code?;
        let value = |name: &str| {
            let found = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(found.value).ok()
        };
        let closes_connection = value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let is_chunked = value("transfer-encoding").is_some();
        let length = value("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.buffer.drain(..size);
        Some((status, closes_connection, is_chunked, length))
    }

    async fn read_sized_body(&mut self, remaining: &mut usize) -> bool {
        while self.buffer.len() < *remaining {
            if self.read_more().await.is_err() {
                return false;
            }
        }
        self.buffer.drain(..*remaining);
        true
    }

    /// Reads all chunks; returns false if the body is malformed or incomplete.
    async fn read_chunked_body(&mut self) -> bool {
        loop {
            let chunk = match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((head, size))) => Some((head, size as usize)),
                Ok(httparse::Status::Partial) => None,
                Err(_) => return false,
            };
            // Each chunk is followed by CRLF, including the last one.
            match chunk {
                Some((head, size)) if self.buffer.len() >= head + size + 2 => {
                    self.buffer.drain(..head + size + 2);
                    if size == 0 {
                        return true;
                    }
                }
                _ => {
                    if self.read_more().await.is_err() {
                        return false;
                    }
                }
            }
        }
    }
}
