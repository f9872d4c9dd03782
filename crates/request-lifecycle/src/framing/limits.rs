//! Limits of the framing of a body.

use serde::{Deserialize, Serialize};

/// Maximum number of bytes that a server may state for a chunk or a body: far more than any event, and far less than what
/// only a malformed response states.
const MAX_RESPONSE_STATED_BYTES: u64 = 64 << 20;

/// Maximum number of bytes of a size line, with leading zeros, extensions and its line end.
const MAX_SIZE_LINE_BYTES: u32 = 16 << 10;

/// Maximum number of bytes of a trailer section.
const MAX_TRAILER_BYTES: u32 = 16 << 10;

/// Limits of the framing of a body, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FramingLimits {
    /// Maximum size that a chunk or a header may state.
    pub max_stated_bytes: u64,
    /// Maximum length of a size line.
    pub max_size_line_bytes: u32,
    /// Maximum length of a trailer section.
    pub max_trailer_bytes: u32,
}

impl FramingLimits {
    /// The limits of a response.
    pub const RESPONSE: FramingLimits = FramingLimits {
        max_stated_bytes: MAX_RESPONSE_STATED_BYTES,
        max_size_line_bytes: MAX_SIZE_LINE_BYTES,
        max_trailer_bytes: MAX_TRAILER_BYTES,
    };

    /// Returns the limits of a request whose body may have `max_body_bytes`.
    pub fn request(max_body_bytes: u64) -> FramingLimits {
        FramingLimits { max_stated_bytes: max_body_bytes, ..FramingLimits::RESPONSE }
    }
}
