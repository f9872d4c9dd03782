//! The chunked body of the current response, on its way to hyper: reading can be paused between two chunks, so that the
//! successor process can continue it.

use std::cell::{Cell, RefCell};
use std::task::{Context, Waker};

use tokio::sync::Notify;

use crate::chunk_position::{ChunkPosition, ReadUntil};

/// Follows the framing of a body as it is read.
#[derive(Default)]
pub struct BodyTap {
    /// The position in the framing after all that was passed on; `None` where the body has no chunks.
    position: Cell<Option<ChunkPosition>>,
    /// Bytes of data among what was passed on.
    data: Cell<u64>,
    /// Whether reading is to pause at the end of the current chunk.
    pausing: Cell<bool>,
    /// Bytes that were read and not passed on, since reading is to pause.
    pub read_ahead: RefCell<Vec<u8>>,
    /// The reader that waits for reading to continue.
    reader: RefCell<Option<Waker>>,
    /// Notified each time that reading pauses: the end of a chunk alone brings no data that would wake the stream.
    paused: Notify,
}

impl BodyTap {
    /// Pauses reading at the end of the current chunk, or continues it.
    pub fn set_pausing(&self, pausing: bool) {
        if self.pausing.replace(pausing) && !pausing {
            if let Some(reader) = self.reader.take() {
                reader.wake();
            }
        }
    }

    /// Whether reading is to pause at the end of the current chunk.
    pub fn is_pausing(&self) -> bool {
        self.pausing.get()
    }

    /// Whether reading has paused between two chunks, with so many bytes of data passed on.
    pub fn is_paused_after(&self, data: u64) -> bool {
        self.pausing.get() && self.data.get() == data && self.is_between_chunks()
    }

    /// Waits until reading has paused.
    pub async fn paused(&self) {
        self.paused.notified().await;
    }

    /// Whether reading has paused; if so, the task of this context is woken when it continues.
    pub fn poll_paused(&self, context: &mut Context<'_>) -> bool {
        if !self.pausing.get() || !self.is_between_chunks() {
            return false;
        }
        self.reader.replace(Some(context.waker().clone()));
        self.paused.notify_one();
        true
    }

    fn is_between_chunks(&self) -> bool {
        self.position.get().is_some_and(|position| position.is_between_chunks())
    }

    /// A response with another body begins.
    pub fn begin(&self, is_chunked: bool) {
        self.position.set(is_chunked.then(ChunkPosition::default));
        self.data.set(0);
        self.set_pausing(false);
    }

    /// Follows the framing through these bytes, and returns how many of them are passed on.
    pub fn pass_on(&self, bytes: &[u8]) -> usize {
        let Some(mut position) = self.position.get() else { return bytes.len() };
        let mut data = self.data.get();
        let until = if self.pausing.get() { ReadUntil::EndOfChunk } else { ReadUntil::EndOfBody };
        let read = position.read(bytes, until, |part| data += part.len() as u64);
        self.data.set(data);
        // hyper reports what it cannot read either; the stream only cannot be handed over any more.
        self.position.set(read.is_ok().then_some(position));
        match read {
            Ok(read) if !position.is_ended() => read,
            _ => bytes.len(),
        }
    }
}
