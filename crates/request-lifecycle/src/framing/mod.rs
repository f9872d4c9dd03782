//! Framing of message bodies, without I/O.

mod chunk_position;

pub use self::chunk_position::{ChunkPosition, MalformedFraming, ReadUntil};
