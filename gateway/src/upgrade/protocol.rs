//! The messages between predecessor and successor, and their bytes on the socket.
//!
//! A message is one byte, its tag; to some tags the number of a front is added. Descriptors come along with the tag, and
//! some messages go on with blocks of bytes, each behind its length in four bytes, least significant first. Older builds
//! read and write the same bytes (`tests/fixtures/upgrade_messages.txt`).

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

/// From the predecessor: all listeners have been sent.
pub(super) const ALL_LISTENERS_SENT: u8 = 1;
/// From the successor: it accepts from now on.
pub(super) const SERVING: u8 = 2;
/// From the predecessor, with one block: what the router has learned.
pub(super) const ROUTING_STATE: u8 = 3;
/// From the predecessor, plus a front's number, with the front's listening socket.
pub(super) const LISTENER: u8 = 0x10;
/// From the predecessor, plus a front's number, with a client's socket: an idle connection.
pub(super) const CONNECTION: u8 = 0x20;
/// From the predecessor, plus a front's number, with a client's socket and its server's: a connection with a stream in
/// flight. Two blocks follow: the bytes read ahead from the server, and the name of the class, empty if there is none.
pub(super) const STREAM: u8 = 0x30;

/// Longest block of bytes that is accepted.
const MAX_BLOCK_BYTES: usize = 1 << 20;
/// Size of a block's length.
const LENGTH_BYTES: usize = 4;

/// A tag as it was received, with the descriptors that came along.
pub(super) struct Frame {
    pub(super) tag: u8,
    pub(super) descriptors: Vec<OwnedFd>,
}

/// The connection between the two processes.
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

    /// Sends a client's connection, and its stream if one is in flight.
    pub(super) async fn send_connection(&self, connection: &TransferredConnection) -> io::Result<()> {
        let client = connection.socket.as_fd();
        let Some(stream) = &connection.stream else {
            return self.send(CONNECTION + connection.front, &[client]).await;
        };
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

    /// The next message; `None` at the end of the connection.
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
