//! Binary encoding of the messages that members exchange about a replacement: a byte of format version, then
//! postcard.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use thiserror::Error;

use crate::assignments::{Assigned, HandOver, Seat};

/// Format version that is written, and the only one accepted.
pub const FORMAT: u8 = 1;

/// Why a message from another member was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BytesError {
    #[error("replacement message has format {found}, but this build reads only format {FORMAT}")]
    Format { found: u8 },
    #[error("replacement message is truncated or does not match its format")]
    Malformed,
}

impl BytesError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            BytesError::Format { .. } => {
                "Run the same build on all gateways; until then the messages of the other gateway are ignored."
            }
            BytesError::Malformed => {
                "Compare the builds of both gateways; if they are the same, restart the sending gateway."
            }
        }
    }
}

/// Announcement of a replacement by the member that opened it. Each assigned prefix takes about 70 bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Opening {
    pub hand_over: HandOver,
    pub opener: Seat,
    pub assigned: Vec<Assigned>,
}

/// Encodes an [`Opening`] or a [`crate::assignments::Claim`].
pub fn to_bytes<T: Serialize>(word: &T) -> Vec<u8> {
    postcard::to_extend(word, vec![FORMAT]).unwrap_or_default()
}

/// Decodes a message. Trailing bytes are an error.
pub fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BytesError> {
    let (format, rest) = bytes.split_first().ok_or(BytesError::Malformed)?;
    if *format != FORMAT {
        return Err(BytesError::Format { found: *format });
    }
    let (word, left) = postcard::take_from_bytes(rest).map_err(|_| BytesError::Malformed)?;
    if left.is_empty() {
        Ok(word)
    } else {
        Err(BytesError::Malformed)
    }
}
