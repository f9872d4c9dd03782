//! Read state of a response body: what its framing is, and how far it was read. Reading can be paused between two chunks,
//! where the successor process can continue it.
//!
//! The connection's reader updates the state while it passes the body to hyper; the event stream requests the pause.

use std::cell::{Cell, RefCell};
use std::io::Write as _;
use std::task::{Context, Waker};

use glenrail_request_lifecycle::framing::{
    ChunkPosition, ChunkStage, FramingError, FramingLimits, ReadUntil, ResponseFraming,
};
use glenrail_request_lifecycle::response_timing::Progress;
use tokio::sync::Notify;

/// Last chunk of a chunked body without trailers.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Tracks the chunk framing of a response body as it is read, and pauses reading on request.
#[derive(Default)]
pub struct BodyReadState {
    /// Position in the body after the bytes that were read; `None` if it is not chunked.
    position: RefCell<Option<ChunkPosition>>,
    /// Number of bytes of body data that were read from a chunked body.
    data_bytes: Cell<u64>,
    /// Whether reading is to pause at the end of the current chunk.
    pause_requested: Cell<bool>,
    /// Bytes that were read from the socket and not decoded because a pause was requested.
    pub read_ahead: RefCell<Vec<u8>>,
    /// Waker of the task that waits for reading to continue.
    reader_waker: RefCell<Option<Waker>>,
    /// Notified whenever reading pauses. The end of a chunk alone carries no data, so it would not wake the event stream.
    paused: Notify,
    /// Notified when a read ends within the framing, which carries no data either, and when such framing is complete.
    framing_read: Notify,
    /// Whether the last read ended within the framing.
    is_in_framing: Cell<bool>,
}

impl BodyReadState {
    /// Sets whether reading is to pause at the end of the current chunk. Clearing it continues paused reading.
    pub fn set_pause_requested(&self, pause_requested: bool) {
        if self.pause_requested.replace(pause_requested) && !pause_requested {
            if let Some(reader) = self.reader_waker.take() {
                reader.wake();
            }
        }
    }

    /// Returns whether reading has paused between two chunks after exactly `data` bytes of body data.
    pub fn is_paused_after(&self, data: u64) -> bool {
        self.pause_requested.get() && self.data_bytes.get() == data && self.is_between_chunks()
    }

    /// Waits until reading has paused.
    pub async fn wait_paused(&self) {
        self.paused.notified().await;
    }

    /// Waits until framing without data behind it has been received, and returns the progress that it shows.
    pub async fn wait_framing_read(&self) -> Progress {
        loop {
            self.framing_read.notified().await;
            // Data may have been read since.
            let stage = self.position.borrow().as_ref().map(ChunkPosition::stage);
            if let Some(progress) = stage.and_then(Progress::of_framing) {
                return progress;
            }
        }
    }

    /// Returns whether reading has paused. If so, the task of this context is woken when reading continues.
    pub fn poll_paused(&self, context: &mut Context<'_>) -> bool {
        if !self.pause_requested.get() || !self.is_between_chunks() {
            return false;
        }
        self.reader_waker.replace(Some(context.waker().clone()));
        self.paused.notify_one();
        true
    }

    fn is_between_chunks(&self) -> bool {
        self.position.borrow().as_ref().is_some_and(ChunkPosition::is_between_chunks)
    }

    /// Resets the state for the body of the next response.
    pub fn begin_body(&self, framing: ResponseFraming) {
        let is_chunked = framing == ResponseFraming::Chunked;
        self.position.replace(is_chunked.then(|| ChunkPosition::new(FramingLimits::RESPONSE)));
        self.data_bytes.set(0);
        self.is_in_framing.set(false);
        self.set_pause_requested(false);
    }

    /// Whether the body is chunked and its end has not been read, so that its bytes have to be decoded.
    pub fn is_in_chunked_body(&self) -> bool {
        self.position.borrow().as_ref().is_some_and(|position| !position.is_ended())
    }

    /// Returns why the bytes that follow those read so far are malformed; `None` if they are not.
    pub fn framing_error(&self) -> Option<FramingError> {
        self.position.borrow().as_ref().and_then(ChunkPosition::error)
    }

    /// Decodes bytes of a chunked body and appends each piece of data to `output` as a chunk, and the last chunk once the body
    /// has ended. Bytes behind the body are appended unchanged. Returns the number of bytes decoded: fewer than all if a pause was
    /// requested, or if the next ones are malformed.
    pub fn decode(&self, bytes: &[u8], output: &mut Vec<u8>) -> usize {
        let mut position = self.position.borrow_mut();
        let Some(position) = position.as_mut() else {
            output.extend_from_slice(bytes);
            return bytes.len();
        };
        let until = if self.pause_requested.get() { ReadUntil::EndOfChunk } else { ReadUntil::EndOfBody };
        let mut data_bytes = self.data_bytes.get();
        let read = position.read(bytes, until, |part| {
            data_bytes += part.len() as u64;
            append_chunk(output, part);
        });
        self.data_bytes.set(data_bytes);
        let is_in_framing = matches!(position.stage(), ChunkStage::Framing | ChunkStage::DataStart);
        if self.is_in_framing.replace(is_in_framing) || is_in_framing {
            self.framing_read.notify_one();
        }
        if !position.is_ended() {
            return read;
        }
        output.extend_from_slice(LAST_CHUNK);
        output.extend_from_slice(&bytes[read..]);
        bytes.len()
    }
}

/// Appends a chunk with this data, which is not empty.
fn append_chunk(output: &mut Vec<u8>, data: &[u8]) {
    // Writing to a vector does not fail.
    let _ = write!(output, "{:x}\r\n", data.len());
    output.extend_from_slice(data);
    output.extend_from_slice(b"\r\n");
}

#[cfg(test)]
mod tests;
