//! A client's side of a kept connection: requests are written in one piece or in several, alone or several at once, and
//! answers are read one after the other, each to its end.

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

/// One answer as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    pub status: u16,
    /// Whether its body came to its end.
    pub complete: bool,
    /// Whether the gateway ends the connection after it.
    pub closes_connection: bool,
}

/// How a connection ended on which a request had no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The gateway ended it in order, and has not read the request.
    Unread,
    /// The gateway ended it in order, and has read some of the request.
    PartlyRead,
    /// The gateway ended it in order, and has read all of the request.
    Read,
    /// It was reset, so that nothing can be told.
    Reset,
    /// The kernel did not say how its other end stands.
    Unknown,
}

/// What was written at once, and when. It ends early where the connection ended before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteProgress {
    /// Before the first byte was.
    pub began_at: Micros,
    /// Bytes up to the end of each piece, and when that had been written.
    pieces: Vec<(usize, Micros)>,
}

impl WriteProgress {
    /// How many bytes have been written.
    pub fn bytes(&self) -> usize {
        self.pieces.last().map_or(0, |(bytes, _)| *bytes)
    }

    /// When so many bytes had been written, if they have been.
    pub fn written_at(&self, bytes: usize) -> Option<Micros> {
        self.pieces.iter().find(|(written, _)| *written >= bytes).map(|(_, at)| *at)
    }
}

/// A connection to a gateway that is used for one request after the other.
pub struct PersistentConnection {
    socket: TcpStream,
    address: SocketAddr,
    client_address: SocketAddr,
    connected_at: Micros,
    /// Read, and not yet part of an answer.
    buffer: Vec<u8>,
}

impl PersistentConnection {
    pub async fn open(address: SocketAddr) -> io::Result<PersistentConnection> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (connected_at, client_address) = (clock::now(), socket.local_addr()?);
        Ok(PersistentConnection { socket, address, client_address, connected_at, buffer: Vec::new() })
    }

    /// The client's own address, by which the gateway's log names the connection.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// When the connection stood.
    pub fn connected_at(&self) -> Micros {
        self.connected_at
    }

    /// A copy of its socket, such as a process has that is being started.
    pub fn clone_socket(&self) -> io::Result<Socket> {
        SockRef::from(&self.socket).try_clone()
    }

    /// Leaves: the gateway sees the connection's end from now on.
    pub fn close(self) {
        // Dropping it would not do: a process that is just being started holds a copy of each socket until it has begun. An
        // error means that the gateway has ended the connection already.
        let _ = SockRef::from(&self.socket).shutdown(Shutdown::Both);
    }

    /// Whether the gateway has ended the connection while it rested.
    pub fn has_ended(&self) -> bool {
        // The socket itself is asked: what the runtime has noted of it may be late.
        match SockRef::from(&self.socket).peek(&mut [MaybeUninit::uninit()]) {
            Ok(peeked) => peeked == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Writes these bytes in so many pieces, with pauses between them, until the gateway has ended the connection. An end that
    /// crosses the last piece shows in reading.
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

    /// Whether the gateway, which has ended the connection, has read some of these bytes, or may have.
    pub fn may_be_partly_read(&self, written: usize) -> bool {
        let unread = unread::unread_bytes_at(self.address, self.client_address);
        written > 0 && !matches!(unread, Ok(Some(unread)) if unread >= written as u64)
    }

    /// Reads the next answer to its end; `written` is what has been written for requests without an answer, in bytes.
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

    /// What the end of the connection says of a request with no answer.
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

    /// Reads more; an error says whether the connection was reset.
    async fn read_more(&mut self) -> Result<(), bool> {
        let mut bytes = [0; READ_BYTES];
        match self.socket.read(&mut bytes).await {
            Ok(0) => Err(false),
            Err(_) => Err(true),
            Ok(read) => {
                self.buffer.extend_from_slice(&bytes[..read]);
                Ok(())
            }
        }
    }

    /// Takes a complete head: its status, whether the connection ends, whether the body comes in chunks, and its length.
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

    /// Reads chunks up to the last one; false where the body breaks off.
    async fn read_chunked_body(&mut self) -> bool {
        loop {
            let chunk = match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((head, size))) => Some((head, size as usize)),
                Ok(httparse::Status::Partial) => None,
                Err(_) => return false,
            };
            // A chunk is followed by a line's end, the last one too.
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
