//! Parser of the framing of a chunked body, which tracks the reader's position and extracts the data.

/// The framing of the body is invalid.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedFraming;

/// Size in bytes from which a chunk size may not get another digit; larger sizes are rejected as malformed.
const MAX_CHUNK_BYTES: u64 = 1 << 31;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Before a chunk.
    #[default]
    ChunkStart,
    /// In the digits of a chunk's size; has the value so far.
    Size(u64),
    /// After the digits of a chunk's size, in the remainder of the line; has the size.
    SizeLine(u64),
    /// Before the first byte of a chunk's data; has the size.
    DataStart(u64),
    /// In a chunk's data; has the number of remaining bytes.
    Data(u64),
    /// Between a chunk's data and the line end that follows it.
    DataEnd,
    /// After the last chunk, in a trailer line that is empty so far.
    EmptyTrailer,
    /// After the last chunk, in a trailer line that is not empty.
    Trailer,
    /// After the body.
    End,
}

/// Where a read stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadUntil {
    /// At the end of the body.
    EndOfBody,
    /// At the end of the current chunk; between two chunks nothing is read.
    EndOfChunk,
}

/// The position of a reader in a chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChunkPosition(State);

impl ChunkPosition {
    /// Whether the next byte starts a chunk.
    pub fn is_between_chunks(&self) -> bool {
        self.0 == State::ChunkStart
    }

    /// Whether a chunk has begun and none of its data has been read.
    pub fn is_before_chunk_data(&self) -> bool {
        matches!(self.0, State::Size(_) | State::SizeLine(_) | State::DataStart(_))
    }

    /// Whether the body has ended.
    pub fn is_ended(&self) -> bool {
        self.0 == State::End
    }

    /// Reads `bytes` up to `until` and calls `data` with each piece of data. Returns the number of bytes read.
    pub fn read(
        &mut self, bytes: &[u8], until: ReadUntil, mut data: impl FnMut(&[u8]),
    ) -> Result<usize, MalformedFraming> {
        let mut read = 0;
        while read < bytes.len() && !self.is_ended() {
            if until == ReadUntil::EndOfChunk && self.is_between_chunks() {
                break;
            }
            if let State::DataStart(left) | State::Data(left) = self.0 {
                let available = left.min((bytes.len() - read) as u64);
                let end = read + available as usize;
                data(&bytes[read..end]);
                read = end;
                self.0 = if available == left { State::DataEnd } else { State::Data(left - available) };
            } else {
                self.0 = self.0.after(bytes[read])?;
                read += 1;
            }
        }
        Ok(read)
    }
}

impl State {
    /// Returns the state after one byte of framing.
    fn after(self, byte: u8) -> Result<State, MalformedFraming> {
        let digit = char::from(byte).to_digit(16).map(u64::from);
        Ok(match (self, byte) {
            (State::ChunkStart, _) => State::Size(digit.ok_or(MalformedFraming)?),
            (State::Size(size), _) if digit.is_some() => {
                let digit = digit.filter(|_| size < MAX_CHUNK_BYTES).ok_or(MalformedFraming)?;
                State::Size(size * 16 + digit)
            }
            (State::Size(0) | State::SizeLine(0), b'\n') => State::EmptyTrailer,
            (State::Size(size) | State::SizeLine(size), b'\n') => State::DataStart(size),
            (State::Size(size), b'\r' | b';' | b' ' | b'\t') | (State::SizeLine(size), _) => {
                State::SizeLine(size)
            }
            (State::DataEnd, b'\n') => State::ChunkStart,
            (State::DataEnd, b'\r') => State::DataEnd,
            (State::EmptyTrailer, b'\n') => State::End,
            (State::Trailer, b'\n') => State::EmptyTrailer,
            (State::EmptyTrailer | State::Trailer, b'\r') => self,
            (State::EmptyTrailer | State::Trailer, _) => State::Trailer,
            (State::Size(_) | State::DataEnd | State::DataStart(_) | State::Data(_) | State::End, _) => {
                return Err(MalformedFraming)
            }
        })
    }
}

#[cfg(test)]
mod tests;
