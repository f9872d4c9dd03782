//! What members tell of a hand-over, as bytes: a byte of format version, then postcard.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use thiserror::Error;

use crate::readers::{Assigned, HandOver, Seat};

/// The format written, and the only one read.
pub const FORMAT: u8 = 1;

/// Why another member's word is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BytesError {
    #[error("a word on a hand-over has format {found}, this build reads {FORMAT}")]
    Format { found: u8 },
    #[error("a word on a hand-over breaks off or is not what its format says")]
    Malformed,
}

impl BytesError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            BytesError::Format { .. } => {
                "Bring all gateways to one build; until then the other one's word is left out."
            }
            BytesError::Malformed => {
                "Compare the builds of both gateways; if they are alike, restart the telling one."
            }
        }
    }
}

/// A hand-over as its opener tells it. Some 70 bytes an assigned beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Opening {
    pub hand_over: HandOver,
    pub opener: Seat,
    pub assigned: Vec<Assigned>,
}

/// An [`Opening`] or a [`crate::readers::Claim`] as bytes.
pub fn to_bytes<T: Serialize>(word: &T) -> Vec<u8> {
    postcard::to_extend(word, vec![FORMAT]).unwrap_or_default()
}

/// Reads one; bytes left over are none of this format.
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
