//! Binary encoding of the messages that members exchange about a replacement: a byte of format version, then
//! postcard.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use thiserror::Error;

use crate::assignments::{Assignment, Instance, ReplacementId};

/// Format version that is written, and the only one accepted.
pub const FORMAT_VERSION: u8 = 1;

/// Why a message from another member was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageDecodeError {
    #[error("replacement message has format {found}, but this build reads only format {FORMAT_VERSION}")]
    Format { found: u8 },
    #[error("replacement message is truncated or does not match its format")]
    Malformed,
}

impl MessageDecodeError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            MessageDecodeError::Format { .. } => {
                "Run the same build on all gateways; until then the messages of the other gateway are ignored."
            }
            MessageDecodeError::Malformed => {
                "Compare the builds of both gateways; if they are the same, restart the sending gateway."
            }
        }
    }
}

/// Announcement of a replacement by the member that opened it. Each assigned prefix takes about 70 bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplacementAnnouncement {
    pub replacement: ReplacementId,
    pub opener: Instance,
    pub assignments: Vec<Assignment>,
}

/// Encodes a [`ReplacementAnnouncement`] or a [`crate::assignments::Claim`].
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_extend(message, vec![FORMAT_VERSION]).unwrap_or_default()
}

/// Decodes a message. Trailing bytes are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageDecodeError> {
    let (format, rest) = bytes.split_first().ok_or(MessageDecodeError::Malformed)?;
    if *format != FORMAT_VERSION {
        return Err(MessageDecodeError::Format { found: *format });
    }
    let (message, trailing) = postcard::take_from_bytes(rest).map_err(|_| MessageDecodeError::Malformed)?;
    if trailing.is_empty() {
        Ok(message)
    } else {
        Err(MessageDecodeError::Malformed)
    }
}
