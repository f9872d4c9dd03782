//! Continuation of a stream that the predecessor process handed over: the rest of its body is read from the server's
//! connection, starting between two chunks.

use std::net::Shutdown;

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, StreamExt};
use glenrail_request_lifecycle::response_timing::Progress;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{watch, OwnedSemaphorePermit};

use super::events::{BodyEnd, EventBuffer};
use crate::exchange::StreamRemainder;
use crate::upstream::{CallError, Frame, Frames, Malformation};
use glenrail_request_lifecycle::framing::{ChunkPosition, ChunkStage, FramingLimits, ReadUntil};

/// Number of bytes read from the socket at once.
const READ_SIZE_BYTES: usize = 16 << 10;

struct ResumedStream {
    /// Connection to the server; `None` once the stream has been handed over again.
    socket: Option<TcpStream>,
    /// Bytes that were read and not yet parsed.
    read_ahead: BytesMut,
    position: ChunkPosition,
    /// Stage of which the progress was reported last.
    reported_stage: ChunkStage,
    events: EventBuffer,
    /// Becomes true when the stream is to be handed over to the next successor process.
    handing_over: watch::Receiver<bool>,
    /// Bytes of an event that arrived together with ignored lines. After an event they extend no limit.
    unreported: Option<Progress>,
    _slot: Option<OwnedSemaphorePermit>,
}

/// Shuts the connection down, which closes it even if another process still holds a copy of the descriptor. Only this
/// process reads from it now.
impl Drop for ResumedStream {
    fn drop(&mut self) {
        if let Some(socket) = &self.socket {
            let _ = SockRef::from(socket).shutdown(Shutdown::Both);
        }
    }
}

impl ResumedStream {
    /// Returns the next frame.
    async fn next(&mut self) -> Result<Frame, CallError> {
        if let Some(progress) = self.unreported.take() {
            return Ok(Frame::Progress(progress));
        }
        loop {
            if let Some(frame) = self.parse()? {
                return Ok(frame);
            }
            let can_pause = self.position.is_between_chunks() && self.events.is_complete();
            if *self.handing_over.borrow_and_update() && can_pause {
                return self.hand_over();
            }
            self.read_ahead.reserve(READ_SIZE_BYTES);
            let socket = self.socket.as_mut().ok_or(CallError::Reset)?;
            let read = tokio::select! {
                read = socket.read_buf(&mut self.read_ahead) => read.map_err(|_| CallError::Reset)?,
                // The engine owns the sender, so this cannot fail while the engine exists.
                _ = self.handing_over.changed() => continue,
            };
            if read == 0 {
                return Err(CallError::Reset);
            }
        }
    }

    /// Parses the bytes read so far into a frame; `None` if nothing was read.
    fn parse(&mut self) -> Result<Option<Frame>, CallError> {
        let mut data = BytesMut::new();
        let until = ReadUntil::EndOfBody;
        let read = self.position.read(&self.read_ahead, until, |part| data.extend_from_slice(part));
        let _ = self.read_ahead.split_to(read);
        let data = data.freeze();
        if !data.is_empty() {
            self.reported_stage = ChunkStage::Data;
        }
        let complete = self.events.push(&data)?;
        if let Some(complete) = complete {
            return Ok(Some(self.frame_of(complete)));
        }
        if let Some(error) = self.position.error() {
            return Err(CallError::MalformedResponse(Malformation::Framing(error)));
        }
        if self.position.is_ended() {
            let rest = self.events.finish(BodyEnd::Marked)?;
            return Ok(Some(rest.map_or(Frame::End { cached_tokens: 0.0, report: None }, Frame::Ignored)));
        }
        Ok(self.progress_after(&data).map(Frame::Progress))
    }

    /// Returns the frame of these complete events and lines.
    fn frame_of(&mut self, complete: Bytes) -> Frame {
        let received = self.events.received();
        if received.completes_event {
            return Frame::Data(complete);
        }
        self.unreported = received.incomplete_progress();
        Frame::Ignored(complete)
    }

    /// Returns the progress shown by bytes that contained this incomplete data; `None` if it was reported before.
    fn progress_after(&mut self, data: &Bytes) -> Option<Progress> {
        if !data.is_empty() {
            return self.events.received().incomplete_progress().or(Some(Progress::OtherBytes));
        }
        let stage = self.position.stage();
        let is_new = std::mem::replace(&mut self.reported_stage, stage) != stage;
        is_new.then(|| Progress::of_framing(stage)).flatten()
    }

    fn hand_over(&mut self) -> Result<Frame, CallError> {
        let socket = self.socket.take().ok_or(CallError::Reset)?;
        let socket = socket.into_std().map_err(|_| CallError::Reset)?;
        Ok(Frame::HandedOver(StreamRemainder {
            socket,
            read_ahead: Vec::new(),
            last_event: None,
            id_hold: None,
        }))
    }
}

/// Continues a stream. Its connection occupies `slot` for as long as it is open; `slot` is `None` if
/// none was free.
pub fn resume(
    remainder: StreamRemainder, slot: Option<OwnedSemaphorePermit>, handing_over: watch::Receiver<bool>,
) -> Frames {
    let Ok(socket) = TcpStream::from_std(remainder.socket) else {
        return stream::iter([Err(CallError::Reset)]).boxed_local();
    };
    let resumed = ResumedStream {
        socket: Some(socket),
        read_ahead: BytesMut::from(&remainder.read_ahead[..]),
        position: ChunkPosition::new(FramingLimits::RESPONSE),
        reported_stage: ChunkStage::BetweenChunks,
        events: EventBuffer::resumed(),
        handing_over,
        unreported: None,
        _slot: slot,
    };
    stream::try_unfold(Some(resumed), |resumed| async move {
        let Some(mut resumed) = resumed else { return Ok(None) };
        let frame = resumed.next().await?;
        let following = frame.is_followed().then_some(resumed);
        Ok(Some((frame, following)))
    })
    .boxed_local()
}
