//! The framing of a chunked body: the position of a reader in it, and which bytes are data.

/// The framing cannot be read.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedFraming;

/// Largest chunk that is believed, in bytes.
const MAX_CHUNK: u64 = 1 << 31;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Before a chunk.
    #[default]
    ChunkStart,
    /// In the digits of a chunk's size, which are this so far.
    Size(u64),
    /// Past the digits of this size, in the remainder of its line.
    SizeLine(u64),
    /// In a chunk's data, of which so many bytes are left.
    Data(u64),
    /// Between a chunk's data and the end of its line.
    DataEnd,
    /// After the last chunk, in a trailer line that is empty so far.
    EmptyTrailer,
    /// After the last chunk, in a trailer line that is not empty.
    Trailer,
    /// After the body.
    End,
}

/// How far a reader goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadUntil {
    /// To the end of the body.
    EndOfBody,
    /// To the end of the current chunk; nowhere between two chunks.
    EndOfChunk,
}

/// The position of a reader in a chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChunkPosition(State);

impl ChunkPosition {
    /// Whether the next byte begins a chunk.
    pub fn is_between_chunks(&self) -> bool {
        self.0 == State::ChunkStart
    }

    /// Whether the body has ended.
    pub fn is_ended(&self) -> bool {
        self.0 == State::End
    }

    /// Reads these bytes as far as `until`, and calls `data` with what is data. Returns how many bytes were read.
    pub fn read(
        &mut self, bytes: &[u8], until: ReadUntil, mut data: impl FnMut(&[u8]),
    ) -> Result<usize, MalformedFraming> {
        let mut read = 0;
        while read < bytes.len() && !self.is_ended() {
            if until == ReadUntil::EndOfChunk && self.is_between_chunks() {
                break;
            }
            if let State::Data(left) = self.0 {
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
    /// The state after one byte of framing.
    fn after(self, byte: u8) -> Result<State, MalformedFraming> {
        let digit = char::from(byte).to_digit(16).map(u64::from);
        Ok(match (self, byte) {
            (State::ChunkStart, _) => State::Size(digit.ok_or(MalformedFraming)?),
            (State::Size(size), _) if digit.is_some() => {
                let digit = digit.filter(|_| size < MAX_CHUNK).ok_or(MalformedFraming)?;
                State::Size(size * 16 + digit)
            }
            (State::Size(0) | State::SizeLine(0), b'\n') => State::EmptyTrailer,
            (State::Size(size) | State::SizeLine(size), b'\n') => State::Data(size),
            (State::Size(size), b'\r' | b';' | b' ' | b'\t') | (State::SizeLine(size), _) => {
                State::SizeLine(size)
            }
            (State::DataEnd, b'\n') => State::ChunkStart,
            (State::DataEnd, b'\r') => State::DataEnd,
            (State::EmptyTrailer, b'\n') => State::End,
            (State::Trailer, b'\n') => State::EmptyTrailer,
            (State::EmptyTrailer | State::Trailer, b'\r') => self,
            (State::EmptyTrailer | State::Trailer, _) => State::Trailer,
            (State::Size(_) | State::DataEnd | State::Data(_) | State::End, _) => {
                return Err(MalformedFraming)
            }
        })
    }
}

#[cfg(test)]
mod tests;
