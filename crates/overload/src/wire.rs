//! Words and messages as bytes, with a format version before them, for a table or datagrams.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// The format that this build writes; a build reads its own and none other.
pub const FORMAT_VERSION: u8 = 1;

/// Most bytes that are taken for one value: a datagram has 1,200.
pub const MAX_VALUE_BYTES: usize = 1_100;

/// Why bytes are no word and no message of this build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    #[error("an overload value of {bytes} bytes is more than the {MAX_VALUE_BYTES} that one may have")]
    TooLong { bytes: usize },
    #[error("an overload value is of format {found}, and this build reads format {FORMAT_VERSION}")]
    UnknownFormat { found: u8 },
    #[error("an overload value of {bytes} bytes cannot be read as format {FORMAT_VERSION}")]
    Malformed { bytes: usize },
}

impl WireError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            WireError::TooLong { .. } => "Name fewer classes in the settings, or find who else sends to this port.",
            WireError::UnknownFormat { .. } => {
                "Two builds run side by side: bring all gateways to one build. Until then the member counts as cut off."
            }
            WireError::Malformed { .. } => "Look for another program at the port, or a member built from other code.",
        }
    }
}

/// The bytes of a value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    let bytes =
        postcard::to_extend(value, vec![FORMAT_VERSION]).map_err(|_| WireError::Malformed { bytes: 0 })?;
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(WireError::TooLong { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// The value of these bytes, which must be all of them.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let malformed = WireError::Malformed { bytes: bytes.len() };
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(WireError::TooLong { bytes: bytes.len() });
    }
    let (format, rest) = bytes.split_first().ok_or(malformed)?;
    if *format != FORMAT_VERSION {
        return Err(WireError::UnknownFormat { found: *format });
    }
    match postcard::take_from_bytes(rest) {
        Ok((value, [])) => Ok(value),
        _ => Err(malformed),
    }
}
