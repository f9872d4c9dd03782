//! The rest of a stream that another process began: its server's connection, read on from between two chunks.

use std::net::Shutdown;

use bytes::BytesMut;
use futures_util::stream::{self, LocalBoxStream, StreamExt};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{watch, OwnedSemaphorePermit};

use super::events::{Events, Spoilt};
use crate::chunk_position::ChunkPosition;
use crate::exchange::StreamRemainder;
use crate::upstream::{CallError, Frame};

/// Bytes read at once.
const READ: usize = 16 << 10;

struct Resumed {
    /// Gone only once the stream has moved on.
    socket: Option<TcpStream>,
    /// Read and not yet looked at.
    ahead: BytesMut,
    chunks: ChunkPosition,
    events: Events,
    moving: watch::Receiver<bool>,
    _slot: Option<OwnedSemaphorePermit>,
}

/// Only this process reads the connection now, so it is closed here, whichever copies of it still stand open.
impl Drop for Resumed {
    fn drop(&mut self) {
        if let Some(socket) = &self.socket {
            let _ = SockRef::from(socket).shutdown(Shutdown::Both);
        }
    }
}

impl Resumed {
    async fn next(&mut self) -> Result<Frame, CallError> {
        loop {
            let mut data = BytesMut::new();
            let read = self.chunks.read(&self.ahead, false, |d| data.extend_from_slice(d));
            let read = read.map_err(|_| CallError::MalformedResponse)?;
            let _ = self.ahead.split_to(read);
            if let Some(whole) =
                self.events.take(&data.freeze()).map_err(|Spoilt| CallError::MalformedResponse)?
            {
                return Ok(Frame::Data(whole));
            }
            if self.chunks.ended() {
                let end = Frame::End { cached_tokens: 0.0, report: None };
                return self.events.complete().then_some(end).ok_or(CallError::MalformedResponse);
            }
            let stands = self.chunks.between() && self.events.complete();
            if *self.moving.borrow_and_update() && stands {
                let socket = self.socket.take().and_then(|s| s.into_std().ok()).ok_or(CallError::Reset)?;
                return Ok(Frame::HandedOver(StreamRemainder { socket, read_ahead: Vec::new() }));
            }
            self.ahead.reserve(READ);
            let socket = self.socket.as_mut().ok_or(CallError::Reset)?;
            let read = tokio::select! {
                read = socket.read_buf(&mut self.ahead) => read.map_err(|_| CallError::Reset)?,
                // The sender lives as long as the engine does.
                _ = self.moving.changed() => continue,
            };
            if read == 0 {
                return Err(CallError::Reset);
            }
        }
    }
}

pub fn resume(
    rest: StreamRemainder, slot: Option<OwnedSemaphorePermit>, moving: watch::Receiver<bool>,
) -> LocalBoxStream<'static, Result<Frame, CallError>> {
    let Ok(socket) = TcpStream::from_std(rest.socket) else {
        return stream::iter([Err(CallError::Reset)]).boxed_local();
    };
    let (ahead, chunks) = (BytesMut::from(&rest.read_ahead[..]), ChunkPosition::default());
    let (socket, events) = (Some(socket), Events::resumed());
    let resumed = Resumed { socket, ahead, chunks, events, moving, _slot: slot };
    stream::try_unfold(Some(resumed), |resumed| async move {
        let Some(mut resumed) = resumed else { return Ok(None) };
        let frame = resumed.next().await?;
        let more = matches!(frame, Frame::Data(_)).then_some(resumed);
        Ok(Some((frame, more)))
    })
    .boxed_local()
}
