//! Messages between predecessor and successor, and their encoding on the Unix socket.
//!
//! A message starts with a one-byte tag; some tags include the number of a front. Descriptors are sent as ancillary
//! data of the tag. Some messages continue with blocks of bytes, each preceded by its length as a 4-byte little-endian
//! integer. Older builds read and write the same bytes (`tests/fixtures/upgrade_messages.txt`).

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::Interest;
use tokio::net::UnixStream;

use super::transferred::TransferredConnection;

/// Sent by the predecessor: all listeners have been sent.
pub(super) const ALL_LISTENERS_SENT: u8 = 1;
/// Sent by the successor: it accepts connections from now on.
pub(super) const SERVING: u8 = 2;
/// Sent by the predecessor, followed by one block: the routing state.
pub(super) const ROUTING_STATE: u8 = 3;
/// Sent by the predecessor, plus the number of a front: the listening socket of that front.
pub(super) const LISTENER: u8 = 0x10;
/// Sent by the predecessor, plus the number of a front: the socket of an idle client connection.
pub(super) const CONNECTION: u8 = 0x20;
/// Sent by the predecessor, plus the number of a front: the sockets of a client and of its server, with a stream in
/// flight. Two blocks follow: the bytes read ahead from the server, and the name of the request class, empty if there
/// is none.
pub(super) const STREAM: u8 = 0x30;

/// Sent by the predecessor before [`STREAM`], plus the number of a front: how long ago the last event of that stream was
/// received. Two blocks follow: the time in milliseconds, as decimal text, and an empty one. Earlier builds take it for a
/// stream without its sockets, which they log and ignore.
pub(super) const STREAM_AGE: u8 = 0x40;

/// Maximum size of a received block, in bytes.
const MAX_BLOCK_BYTES: usize = 1 << 20;
/// Size of the length prefix of a block, in bytes.
const LENGTH_BYTES: usize = 4;

/// A received tag with its descriptors.
pub(super) struct Frame {
    pub(super) tag: u8,
    pub(super) descriptors: Vec<OwnedFd>,
}

/// Connection between predecessor and successor.
pub struct UpgradeLink(UnixStream);

impl UpgradeLink {
    pub(super) fn new(stream: UnixStream) -> Self {
        UpgradeLink(stream)
    }

    pub(super) async fn send(&self, tag: u8, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        self.0
            .async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !descriptors.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(descriptors));
                }
                sendmsg(&self.0, &[IoSlice::new(&[tag])], &mut control, SendFlags::NOSIGNAL)?;
                Ok(())
            })
            .await
    }

    /// Sends a client connection, with its stream if one is in flight.
    pub(super) async fn send_connection(&self, connection: &TransferredConnection) -> io::Result<()> {
        let client = connection.socket.as_fd();
        let Some(stream) = &connection.stream else {
            return self.send(CONNECTION + connection.front, &[client]).await;
        };
        if let Some(last_event) = stream.remainder.last_event {
            self.send(STREAM_AGE + connection.front, &[]).await?;
            self.send_block(last_event.elapsed().as_millis().to_string().as_bytes()).await?;
            self.send_block(&[]).await?;
        }
        let server = stream.remainder.socket.as_fd();
        self.send(STREAM + connection.front, &[client, server]).await?;
        self.send_block(&stream.remainder.read_ahead).await?;
        self.send_block(stream.class.as_deref().unwrap_or("").as_bytes()).await
    }

    pub(super) async fn send_block(&self, bytes: &[u8]) -> io::Result<()> {
        let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
        let block = [&length.to_le_bytes(), bytes].concat();
        let mut unsent = &block[..];
        while !unsent.is_empty() {
            let written = self.0.async_io(Interest::WRITABLE, || Ok(rustix::io::write(&self.0, unsent)?));
            unsent = &unsent[written.await?..];
        }
        Ok(())
    }

    /// Receives the next message; `None` at the end of the connection.
    pub(super) async fn receive(&self) -> io::Result<Option<Frame>> {
        self.0.async_io(Interest::READABLE, || self.try_receive()).await
    }

    fn try_receive(&self) -> io::Result<Option<Frame>> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut tag = [0];
        let mut buffers = [IoSliceMut::new(&mut tag)];
        let received = recvmsg(&self.0, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
        let rights = control.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
            _ => None,
        });
        let descriptors = rights.flatten().collect();
        Ok((received.bytes > 0).then_some(Frame { tag: tag[0], descriptors }))
    }

    pub(super) async fn receive_block(&self) -> io::Result<Vec<u8>> {
        let mut length = [0; LENGTH_BYTES];
        self.receive_exactly(&mut length).await?;
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_BLOCK_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut block = vec![0; length];
        self.receive_exactly(&mut block).await?;
        Ok(block)
    }

    async fn receive_exactly(&self, buffer: &mut [u8]) -> io::Result<()> {
        let mut filled = 0;
        while filled < buffer.len() {
            let reading =
                self.0.async_io(Interest::READABLE, || Ok(rustix::io::read(&self.0, &mut buffer[filled..])?));
            match reading.await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => filled += read,
            }
        }
        Ok(())
    }
}
