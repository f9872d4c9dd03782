//! Format of the files of the log. All integers are little-endian.
//!
//! ```text
//! file   = header frame*
//! header = "GLENSTOR" version:u32 flags:u32 number:u64 first:u64 last:u64 crc:u32
//! frame  = length:u32 crc:u32 sequence:u64 synced:u64 payload:[length] [mac:16]
//! ```
//!
//! The `crc` of a frame covers its length and everything that follows the `crc`. `synced` is the last
//! sequence number that was durable when the frame was written. It separates damage from torn writes: an
//! unreadable frame that a later frame counts as synced was damaged, and any other one is the torn end of a
//! write, whatever part of later writes has reached the disk.

use serde::{Deserialize, Serialize};

/// Format version that is written, and the only one that is read.
pub const FORMAT_VERSION: u32 = 1;
const MAGIC: &[u8; 8] = b"GLENSTOR";
/// Size of a file header, in bytes.
pub const HEADER_BYTES: usize = 44;
/// Size of a frame without its payload and MAC, in bytes.
pub const FRAME_HEADER_BYTES: usize = 24;
const MAC_BYTES: usize = 16;
/// Maximum payload of one batch, in bytes.
pub const MAX_BATCH_BYTES: usize = 64 << 20;
const FLAG_KEYED: u32 = 1;
const FLAG_COMPACTED: u32 = 2;

/// Key of the MAC in each frame, which separates a file that was changed on purpose from a torn one.
pub type MacKey = [u8; 32];

/// One change of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// Number of the keyspace and key, as in the index.
    pub key: Vec<u8>,
    /// `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// Time from which the value has expired (ms on the caller's clock); `None`: never.
    pub expires_at: Option<u64>,
    /// Sequence number of the batch that made the change. Compaction keeps it.
    pub version: u64,
}

/// Header of a file of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileHeader {
    /// Number of the file, which is also its name.
    pub number: u64,
    /// First sequence number of the file.
    pub first_sequence: u64,
    /// Last sequence number that a compacted file covers; 0 in other files.
    pub last_sequence: u64,
    /// Whether the file replaces one or several files of the log, or holds a whole store.
    pub compacted: bool,
    /// Whether its frames have a MAC.
    pub keyed: bool,
}

/// Why a file header was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// It is incomplete, or its checksum does not match.
    Torn,
    /// The file belongs to another program.
    Foreign,
    Version(u32),
}

impl FileHeader {
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut out = [0; HEADER_BYTES];
        let flags = u32::from(self.keyed) * FLAG_KEYED + u32::from(self.compacted) * FLAG_COMPACTED;
        out[..8].copy_from_slice(MAGIC);
        out[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
        out[12..16].copy_from_slice(&flags.to_le_bytes());
        out[16..24].copy_from_slice(&self.number.to_le_bytes());
        out[24..32].copy_from_slice(&self.first_sequence.to_le_bytes());
        out[32..40].copy_from_slice(&self.last_sequence.to_le_bytes());
        let crc = crc32fast::hash(&out[..40]);
        out[40..].copy_from_slice(&crc.to_le_bytes());
        out
    }

    pub fn decode(bytes: &[u8]) -> Result<FileHeader, HeaderError> {
        if bytes.len() < HEADER_BYTES {
            return Err(HeaderError::Torn);
        }
        // A header whose checksum does not match is torn if its magic number is right or was never written
        // (zero bytes). With any other magic number, the file belongs to another program.
        if crc32fast::hash(&bytes[..40]) != u32_at(bytes, 40) {
            return Err(if bytes[..8] == *MAGIC || bytes[..8] == [0; 8] {
                HeaderError::Torn
            } else {
                HeaderError::Foreign
            });
        }
        if bytes[..8] != *MAGIC {
            return Err(HeaderError::Foreign);
        }
        let (version, flags) = (u32_at(bytes, 8), u32_at(bytes, 12));
        if version != FORMAT_VERSION {
            return Err(HeaderError::Version(version));
        }
        Ok(FileHeader {
            number: u64_at(bytes, 16),
            first_sequence: u64_at(bytes, 24),
            last_sequence: u64_at(bytes, 32),
            compacted: flags & FLAG_COMPACTED != 0,
            keyed: flags & FLAG_KEYED != 0,
        })
    }
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap_or_default())
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap_or_default())
}

/// Appends a frame to `out` and returns its size.
pub fn encode(
    sequence: u64, synced_sequence: u64, payload: &[u8], mac_key: Option<&MacKey>, out: &mut Vec<u8>,
) -> usize {
    let start = out.len();
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&synced_sequence.to_le_bytes());
    out.extend_from_slice(payload);
    if let Some(mac_key) = mac_key {
        let mac = blake3::keyed_hash(mac_key, &out[start + 8..]);
        out.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
    }
    let crc = checksum(&out[start..]);
    out[start + 4..start + 8].copy_from_slice(&crc.to_le_bytes());
    out.len() - start
}

fn checksum(frame: &[u8]) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&frame[..4]);
    crc.update(&frame[8..]);
    crc.finalize()
}

/// A decoded frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub sequence: u64,
    pub synced_sequence: u64,
    pub payload: &'a [u8],
    /// Size of the whole frame, in bytes.
    pub size: usize,
}

/// Why a frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// There are no more bytes.
    End,
    /// The bytes are not a complete valid frame: it is torn or damaged.
    Invalid(&'static str),
    /// The frame is complete and its checksum matches, but it was not written with this key.
    WrongMac,
}

/// Decodes the frame at the start of these bytes.
pub fn decode<'a>(bytes: &'a [u8], mac_key: Option<&MacKey>) -> Result<Frame<'a>, FrameError> {
    if bytes.is_empty() {
        return Err(FrameError::End);
    }
    if bytes.len() < FRAME_HEADER_BYTES {
        return Err(FrameError::Invalid("the header of the frame is incomplete"));
    }
    let length = u32_at(bytes, 0) as usize;
    let size = FRAME_HEADER_BYTES + length + if mac_key.is_some() { MAC_BYTES } else { 0 };
    if length > MAX_BATCH_BYTES {
        return Err(FrameError::Invalid("the length of the frame exceeds the limit"));
    }
    let Some(frame) = bytes.get(..size) else { return Err(FrameError::Invalid("the frame is incomplete")) };
    if checksum(frame) != u32_at(frame, 4) {
        return Err(FrameError::Invalid("the checksum of the frame does not match"));
    }
    if let Some(mac_key) = mac_key {
        let end = size - MAC_BYTES;
        let mac = blake3::keyed_hash(mac_key, &frame[8..end]);
        // A comparison in constant time is not needed: a process that can measure it can also read the file.
        if mac.as_bytes()[..MAC_BYTES] != frame[end..] {
            return Err(FrameError::WrongMac);
        }
    }
    let payload = &frame[FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length];
    Ok(Frame { sequence: u64_at(frame, 8), synced_sequence: u64_at(frame, 16), payload, size })
}

/// Decodes the changes in a frame's payload. `None`: the payload is malformed.
pub fn decode_ops(payload: &[u8]) -> Option<Vec<Op>> {
    let (ops, rest) = postcard::take_from_bytes::<Vec<Op>>(payload).ok()?;
    rest.is_empty().then_some(ops)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// The decoders do not panic on arbitrary bytes, and no random bytes are decoded as a frame.
        #[test]
        fn decoders_accept_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200), keyed: bool) {
            let mac_key = keyed.then_some([7; 32]);
            let _ = FileHeader::decode(&bytes);
            prop_assert!(decode(&bytes, mac_key.as_ref()).is_err());
            let _ = decode_ops(&bytes);
        }

        /// A frame with a flipped bit, for example after a disk error, is never decoded.
        #[test]
        fn a_flipped_bit_is_detected(payload in prop::collection::vec(any::<u8>(), 0..100), at: prop::sample::Index,
            bit in 0u8..8, keyed: bool) {
            let mac_key = keyed.then_some([7; 32]);
            let mut out = Vec::new();
            encode(5, 4, &payload, mac_key.as_ref(), &mut out);
            prop_assert_eq!(decode(&out, mac_key.as_ref()).map(|f| f.payload.to_vec()), Ok(payload));
            let at = at.index(out.len());
            out[at] ^= 1 << bit;
            prop_assert!(decode(&out, mac_key.as_ref()).is_err());
        }
    }

    /// A complete frame whose MAC was computed with another key is rejected.
    #[test]
    fn a_frame_with_another_key_is_rejected() {
        let mut out = Vec::new();
        encode(1, 0, b"x", Some(&[1; 32]), &mut out);
        assert_eq!(decode(&out, Some(&[2; 32])), Err(FrameError::WrongMac));
    }
}
