//! Inputs and results of the machine.

use serde::{Deserialize, Serialize};

use crate::framing::ChunkStage;

/// What was observed of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Progress {
    /// Bytes of a head that is not complete.
    HeadBytes,
    /// An interim response (1xx), complete; the final head has not begun.
    InterimHead,
    /// The final head, complete.
    HeadComplete,
    /// Bytes of a body that is not a stream.
    BodyBytes,
    /// Bytes of a size line, of a line end behind a chunk's data or of a trailer section, which is not complete.
    FramingBytes,
    /// The line end behind a chunk's data, complete; the next size line has not begun.
    FramingComplete,
    /// The size line of a chunk, complete; the chunk's data has not begun.
    ChunkBegun,
    /// Bytes of an event that is not complete.
    EventBytes,
    /// Bytes that belong to no event and complete no line.
    OtherBytes,
    /// Complete lines that readers of a stream ignore, or an event without data; no event is incomplete after them.
    IgnoredBytes,
    /// The end of an event with data.
    EventComplete,
    /// The gateway stopped reading, because the client has not taken what was read before.
    ReadingSuspended,
    /// The gateway reads again.
    ReadingResumed,
}

impl Progress {
    /// Returns the progress of a body that was read up to this stage; `None` if its data tells.
    pub fn of_framing(stage: ChunkStage) -> Option<Progress> {
        match stage {
            ChunkStage::Framing => Some(Progress::FramingBytes),
            ChunkStage::BetweenChunks => Some(Progress::FramingComplete),
            ChunkStage::DataStart => Some(Progress::ChunkBegun),
            ChunkStage::Data | ChunkStage::End | ChunkStage::Malformed(_) => None,
        }
    }
}

/// Why a response has to be ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Expiry {
    /// The head was begun, and its next byte did not come in time.
    HeadStalled,
    /// The head was complete, and the next byte of the first event or of a short body did not come in time.
    BodyStalled,
    /// No event was begun in time after the last one.
    EventOverdue,
    /// An event was begun, and its next byte did not come in time.
    EventStalled,
    /// An event was begun and not completed in time, though its bytes came.
    EventTooLong,
    /// A size line, a line end or a trailer section was begun and not completed in time, though its bytes came.
    FramingOverdue,
}

/// When a response has to be ended, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limit<T> {
    /// The earliest time at which it has to be ended.
    pub at: T,
    /// The reason.
    pub reason: Expiry,
}
