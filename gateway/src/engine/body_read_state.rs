//! Read state of a response body. Reading can be paused between two chunks, where the successor process can continue it.
//!
//! The connection's reader updates the state while it passes the body to hyper; the event stream requests the pause.

use std::cell::{Cell, RefCell};
use std::task::{Context, Waker};

use tokio::sync::Notify;

use glenrail_request_lifecycle::framing::{ChunkPosition, ReadUntil};

/// Tracks the chunk framing of a response body as it is read, and pauses reading on request.
#[derive(Default)]
pub struct BodyReadState {
    /// Position in the chunk framing after the bytes passed to hyper; `None` if the body is not chunked, or its framing
    /// is malformed.
    position: Cell<Option<ChunkPosition>>,
    /// Number of bytes passed to hyper that are body data, not framing.
    data_bytes: Cell<u64>,
    /// Whether reading is to pause at the end of the current chunk.
    pause_requested: Cell<bool>,
    /// Bytes that were read from the socket and not passed to hyper because a pause was requested.
    pub read_ahead: RefCell<Vec<u8>>,
    /// Waker of the task that waits for reading to continue.
    reader_waker: RefCell<Option<Waker>>,
    /// Notified whenever reading pauses. The end of a chunk alone carries no data, so it would not wake the event stream.
    paused: Notify,
    /// Notified when a read ends within the size line of a chunk, which carries no data either.
    chunk_begun: Notify,
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

    /// Returns whether reading is to pause at the end of the current chunk.
    pub fn is_pause_requested(&self) -> bool {
        self.pause_requested.get()
    }

    /// Returns whether reading has paused between two chunks after exactly `data` bytes of body data.
    pub fn is_paused_after(&self, data: u64) -> bool {
        self.pause_requested.get() && self.data_bytes.get() == data && self.is_between_chunks()
    }

    /// Waits until reading has paused.
    pub async fn wait_paused(&self) {
        self.paused.notified().await;
    }

    /// Waits until the size line of a chunk has been received in part, or without any data behind it.
    pub async fn wait_chunk_begun(&self) {
        loop {
            self.chunk_begun.notified().await;
            // The data may have been read since.
            if self.is_before_chunk_data() {
                return;
            }
        }
    }

    fn is_before_chunk_data(&self) -> bool {
        self.position.get().is_some_and(|position| position.is_before_chunk_data())
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
        self.position.get().is_some_and(|position| position.is_between_chunks())
    }

    /// Resets the state for the body of the next response.
    pub fn begin_body(&self, is_chunked: bool) {
        self.position.set(is_chunked.then(ChunkPosition::default));
        self.data_bytes.set(0);
        self.set_pause_requested(false);
    }

    /// Advances the position by these bytes and returns how many of them may be passed to hyper.
    pub fn advance(&self, bytes: &[u8]) -> usize {
        let Some(mut position) = self.position.get() else { return bytes.len() };
        let mut data = self.data_bytes.get();
        let until = if self.pause_requested.get() { ReadUntil::EndOfChunk } else { ReadUntil::EndOfBody };
        let read = position.read(bytes, until, |part| data += part.len() as u64);
        self.data_bytes.set(data);
        // hyper reports malformed framing itself. Here it only means that the stream can no longer be handed over.
        self.position.set(read.is_ok().then_some(position));
        if self.is_before_chunk_data() {
            self.chunk_begun.notify_one();
        }
        match read {
            Ok(read) if !position.is_ended() => read,
            _ => bytes.len(),
        }
    }
}
