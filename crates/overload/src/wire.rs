//! Encoding of member reports and budget messages as bytes with a leading format version, for a shared table
//! or for datagrams.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Format version that this build writes, and the only one that it reads.
pub const FORMAT_VERSION: u8 = 1;

/// Maximum size of an encoded value in bytes, version included; a datagram holds 1,200.
pub const MAX_VALUE_BYTES: usize = 1_100;

/// Reason why a value cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    #[error("an overload value of {bytes} bytes exceeds the maximum of {MAX_VALUE_BYTES}")]
    TooLong { bytes: usize },
    #[error(
        "an overload value has format version {found}, but this build reads version {FORMAT_VERSION} only"
    )]
    UnknownFormat { found: u8 },
    #[error("an overload value of {bytes} bytes is not valid in format version {FORMAT_VERSION}")]
    Malformed { bytes: usize },
}

impl WireError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            WireError::TooLong { .. } => "Configure fewer classes, or check what else sends to this port.",
            WireError::UnknownFormat { .. } => {
                "Bring all gateways to one build. Until then, members of other builds count as unreachable."
            }
            WireError::Malformed { .. } => "Check the port for another program or a member of another build.",
        }
    }
}

/// Encodes a value, preceded by the format version.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    let bytes =
        postcard::to_extend(value, vec![FORMAT_VERSION]).map_err(|_| WireError::Malformed { bytes: 0 })?;
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(WireError::TooLong { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a value that takes up all of `bytes`.
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
