//! Framing of message bodies: where a body ends, and whether what frames it is sound.
//!
//! [`ChunkPosition`] reads the chunked coding of responses and requests, [`ResponseFraming`] the headers of a response. Both
//! reject what exceeds a limit of [`FramingLimits`] as soon as the bytes that were received show it. No HTTP library's limits
//! are relied on: the gateway passes to it only what was accepted here. Neither has a clock; how long an incomplete line may
//! take is decided by [`response_timing`](crate::response_timing).

mod chunk_position;
mod limits;
mod planted_faults;
mod response_framing;

pub use self::chunk_position::{ChunkPosition, ChunkStage, ReadUntil};
pub use self::limits::FramingLimits;
#[cfg(not(feature = "mutants"))]
use self::planted_faults::Fault;
#[cfg(feature = "mutants")]
pub use self::planted_faults::Fault;
pub use self::response_framing::ResponseFraming;

/// Why the framing of a body is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum FramingError {
    /// The header with the length of the body is no number, or states several.
    #[error("the stated length of the body cannot be read")]
    LengthUnreadable,
    /// The header states a longer body than the limit.
    #[error("the stated length of the body exceeds the limit")]
    LengthTooLarge,
    /// The size line of a chunk has no size, or bytes that do not belong there.
    #[error("the size of a chunk cannot be read")]
    SizeUnreadable,
    /// The size line of a chunk, with leading zeros and extensions, is longer than the limit.
    #[error("the size line of a chunk exceeds the limit")]
    SizeLineTooLong,
    /// A chunk states more bytes than the limit.
    #[error("the size of a chunk exceeds the limit")]
    ChunkTooLarge,
    /// The line end behind a chunk's data is not where the size puts it.
    #[error("the data of a chunk does not fit its size")]
    DataMisfit,
    /// A line of the trailer section is no header field.
    #[error("a trailer cannot be read")]
    TrailerUnreadable,
    /// The trailer section is longer than the limit.
    #[error("the trailer section exceeds the limit")]
    TrailerTooLong,
}

impl FramingError {
    /// All errors, in the order of the operators' counters.
    pub const ALL: [FramingError; 8] = [
        FramingError::LengthUnreadable,
        FramingError::LengthTooLarge,
        FramingError::SizeUnreadable,
        FramingError::SizeLineTooLong,
        FramingError::ChunkTooLarge,
        FramingError::DataMisfit,
        FramingError::TrailerUnreadable,
        FramingError::TrailerTooLong,
    ];

    /// Returns the name of the error in the log and in the operators' counters.
    pub fn name(self) -> &'static str {
        match self {
            FramingError::LengthUnreadable => "length_unreadable",
            FramingError::LengthTooLarge => "length_too_large",
            FramingError::SizeUnreadable => "size_unreadable",
            FramingError::SizeLineTooLong => "size_line_too_long",
            FramingError::ChunkTooLarge => "chunk_too_large",
            FramingError::DataMisfit => "data_misfit",
            FramingError::TrailerUnreadable => "trailer_unreadable",
            FramingError::TrailerTooLong => "trailer_too_long",
        }
    }
}
