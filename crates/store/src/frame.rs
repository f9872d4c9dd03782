//! How batches lie in a file. Little endian throughout.
//!
//! ```text
//! file  = head frame*
//! head  = "GLENSTOR" version:u32 flags:u32 number:u64 first:u64 last:u64 crc:u32
//! frame = length:u32 crc:u32 sequence:u64 synced:u64 payload:[length] [mac:16]
//! ```
//!
//! `crc` covers what stands between it and the frame's end, and the length. `synced` is the last sequence number that
//! was on the disk for good when the frame was written: a frame that is bad, and yet counted as synced by a later one,
//! was damaged; one that is not is the torn end of a write, whatever of later writes has reached the disk.

use serde::{Deserialize, Serialize};

pub const VERSION: u32 = 1;
const MAGIC: &[u8; 8] = b"GLENSTOR";
pub const HEAD: usize = 44;
pub const FRAME: usize = 24;
const MAC: usize = 16;
/// Most bytes of one batch.
pub const MOST: usize = 64 << 20;
const KEYED: u32 = 1;
const COMPACTED: u32 = 2;

/// A key that tells a file changed on purpose from a torn one.
pub type Secret = [u8; 32];

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// Keyspace and key, as the index has them.
    pub key: Vec<u8>,
    /// `None` takes the key out.
    pub value: Option<Vec<u8>>,
    /// By the caller's clock (ms): from then on the value is gone.
    pub expires: Option<u64>,
    /// The batch that this change came with; compaction keeps it.
    pub version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub number: u64,
    /// The sequence numbers that a compacted file stands for; of others `first` alone is told.
    pub first: u64,
    pub last: u64,
    pub compacted: bool,
    pub keyed: bool,
}

/// What is wrong with a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadHead {
    /// Shorter than a head, or its checksum is off.
    Torn,
    Foreign,
    Version(u32),
}

impl Head {
    pub fn encode(&self) -> [u8; HEAD] {
        let mut out = [0; HEAD];
        let flags = u32::from(self.keyed) * KEYED + u32::from(self.compacted) * COMPACTED;
        out[..8].copy_from_slice(MAGIC);
        out[8..12].copy_from_slice(&VERSION.to_le_bytes());
        out[12..16].copy_from_slice(&flags.to_le_bytes());
        out[16..24].copy_from_slice(&self.number.to_le_bytes());
        out[24..32].copy_from_slice(&self.first.to_le_bytes());
        out[32..40].copy_from_slice(&self.last.to_le_bytes());
        let crc = crc32fast::hash(&out[..40]);
        out[40..].copy_from_slice(&crc.to_le_bytes());
        out
    }

    pub fn decode(bytes: &[u8]) -> Result<Head, BadHead> {
        if bytes.len() < HEAD {
            return Err(BadHead::Torn);
        }
        // A head that reached the disk in part only is torn; one with another's magic is somebody else's file.
        if crc32fast::hash(&bytes[..40]) != u32_at(bytes, 40) {
            return Err(if bytes[..8] == *MAGIC || bytes[..8] == [0; 8] {
                BadHead::Torn
            } else {
                BadHead::Foreign
            });
        }
        if bytes[..8] != *MAGIC {
            return Err(BadHead::Foreign);
        }
        let (version, flags) = (u32_at(bytes, 8), u32_at(bytes, 12));
        if version != VERSION {
            return Err(BadHead::Version(version));
        }
        Ok(Head {
            number: u64_at(bytes, 16),
            first: u64_at(bytes, 24),
            last: u64_at(bytes, 32),
            compacted: flags & COMPACTED != 0,
            keyed: flags & KEYED != 0,
        })
    }
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap_or_default())
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap_or_default())
}

/// Appends a frame and returns its size.
pub fn encode(
    sequence: u64, synced: u64, payload: &[u8], secret: Option<&Secret>, out: &mut Vec<u8>,
) -> usize {
    let start = out.len();
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&synced.to_le_bytes());
    out.extend_from_slice(payload);
    if let Some(secret) = secret {
        let mac = blake3::keyed_hash(secret, &out[start + 8..]);
        out.extend_from_slice(&mac.as_bytes()[..MAC]);
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

/// A frame as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub sequence: u64,
    pub synced: u64,
    pub payload: &'a [u8],
    /// Bytes that it takes.
    pub size: usize,
}

/// Why no frame was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// The bytes end here.
    End,
    /// What stands here is no whole frame: torn or damaged.
    Broken(&'static str),
    /// Whole, and yet not written by whoever has the key.
    Forged,
}

/// The frame at the beginning of these bytes.
pub fn decode<'a>(bytes: &'a [u8], secret: Option<&Secret>) -> Result<Frame<'a>, Bad> {
    if bytes.is_empty() {
        return Err(Bad::End);
    }
    if bytes.len() < FRAME {
        return Err(Bad::Broken("a frame's head is cut off"));
    }
    let length = u32_at(bytes, 0) as usize;
    let size = FRAME + length + if secret.is_some() { MAC } else { 0 };
    if length > MOST {
        return Err(Bad::Broken("a frame's length is out of bounds"));
    }
    let Some(frame) = bytes.get(..size) else { return Err(Bad::Broken("a frame is cut off")) };
    if checksum(frame) != u32_at(frame, 4) {
        return Err(Bad::Broken("a frame's checksum is off"));
    }
    if let Some(secret) = secret {
        let end = size - MAC;
        let mac = blake3::keyed_hash(secret, &frame[8..end]);
        // Both are public here: whoever can measure the time can read the file.
        if mac.as_bytes()[..MAC] != frame[end..] {
            return Err(Bad::Forged);
        }
    }
    let payload = &frame[FRAME..FRAME + length];
    Ok(Frame { sequence: u64_at(frame, 8), synced: u64_at(frame, 16), payload, size })
}

/// The changes of a frame, each with the place of its value in the payload.
pub fn ops(payload: &[u8]) -> Option<Vec<Op>> {
    let (ops, rest) = postcard::take_from_bytes::<Vec<Op>>(payload).ok()?;
    rest.is_empty().then_some(ops)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards readers from whatever lies in a file: decoders take any bytes, and give back only what was written.
        #[test]
        fn decoders_take_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200), keyed: bool) {
            let secret = keyed.then_some([7; 32]);
            let _ = Head::decode(&bytes);
            prop_assert!(decode(&bytes, secret.as_ref()).is_err());
            let _ = ops(&bytes);
        }

        /// Guards values from the disk: a frame with any bit turned is never read.
        #[test]
        fn a_turned_bit_is_caught(payload in prop::collection::vec(any::<u8>(), 0..100), at: prop::sample::Index,
            bit in 0u8..8, keyed: bool) {
            let secret = keyed.then_some([7; 32]);
            let mut out = Vec::new();
            encode(5, 4, &payload, secret.as_ref(), &mut out);
            prop_assert_eq!(decode(&out, secret.as_ref()).map(|f| f.payload.to_vec()), Ok(payload));
            let at = at.index(out.len());
            out[at] ^= 1 << bit;
            prop_assert!(decode(&out, secret.as_ref()).is_err());
        }
    }

    /// Guards against a file made by somebody without the key, whole as it may be.
    #[test]
    fn a_frame_sealed_with_another_key_is_forged() {
        let mut out = Vec::new();
        encode(1, 0, b"x", Some(&[1; 32]), &mut out);
        assert_eq!(decode(&out, Some(&[2; 32])), Err(Bad::Forged));
    }
}
