//! Parser of the chunked coding, which tracks the reader's position and extracts the data.

use super::{Fault, FramingError, FramingLimits};

/// Length of a line end.
const LINE_END_BYTES: u32 = 2;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum State {
    /// Before a chunk.
    #[default]
    ChunkStart,
    /// In the digits of a chunk's size; has the value and the length of the line so far.
    Size { size: u64, line: u32 },
    /// In the white space behind the digits.
    SizePadding { size: u64, line: u32 },
    /// In the extensions of a chunk.
    Extension { size: u64, line: u32 },
    /// Before the line feed of a size line.
    SizeLineFeed { size: u64, line: u32 },
    /// Before the first byte of a chunk's data; has the size.
    DataStart(u64),
    /// In a chunk's data; has the number of remaining bytes.
    Data(u64),
    /// Behind a chunk's data, before its line end.
    DataEnd,
    /// Before the line feed behind a chunk's data.
    DataLineFeed,
    /// After the last chunk, before a line of the trailer section; has the length of the section so far.
    TrailerStart { section: u32 },
    /// In the name of a trailer.
    TrailerName { section: u32 },
    /// In the value of a trailer.
    TrailerValue { section: u32 },
    /// Before the line feed of a trailer.
    TrailerLineFeed { section: u32 },
    /// Before the line feed that ends the body.
    FinalLineFeed,
    /// After the body.
    End,
    /// Behind bytes that are malformed.
    Malformed(FramingError),
}

/// Where a read stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadUntil {
    /// At the end of the body.
    EndOfBody,
    /// At the end of the current chunk; between two chunks nothing is read.
    EndOfChunk,
}

/// What the next byte of a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChunkStage {
    /// The next chunk, or the line end behind the data of the last one.
    BetweenChunks,
    /// A size line, a line end or a trailer section that has begun.
    Framing,
    /// The data of a chunk whose size line is complete, and whose data has not begun.
    DataStart,
    /// The data of a chunk.
    Data,
    /// Nothing: the body has ended.
    End,
    /// Nothing: the framing is malformed.
    Malformed(FramingError),
}

/// The position of a reader in a chunked body. Behind malformed bytes it stays where they began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChunkPosition {
    state: State,
    limits: FramingLimits,
    #[cfg(feature = "mutants")]
    pub(super) fault: Option<Fault>,
}

impl ChunkPosition {
    /// Creates the position at the start of a body with these limits.
    pub fn new(limits: FramingLimits) -> Self {
        ChunkPosition {
            state: State::ChunkStart,
            limits,
            #[cfg(feature = "mutants")]
            fault: None,
        }
    }

    /// Whether the next byte starts a chunk.
    pub fn is_between_chunks(&self) -> bool {
        self.state == State::ChunkStart
    }

    /// Whether the body has ended.
    pub fn is_ended(&self) -> bool {
        self.state == State::End
    }

    /// Returns why the bytes at this position are malformed; `None` if they are not.
    pub fn error(&self) -> Option<FramingError> {
        match self.state {
            State::Malformed(error) => Some(error),
            _ => None,
        }
    }

    /// Returns what the next byte belongs to.
    pub fn stage(&self) -> ChunkStage {
        match self.state {
            State::ChunkStart | State::DataEnd => ChunkStage::BetweenChunks,
            State::DataStart(_) => ChunkStage::DataStart,
            State::Data(_) => ChunkStage::Data,
            State::End => ChunkStage::End,
            State::Malformed(error) => ChunkStage::Malformed(error),
            _ => ChunkStage::Framing,
        }
    }

    /// Reads `bytes` up to `until` and calls `data` with each piece of data. Returns the number of bytes read, which are
    /// those before the first malformed byte if [`error`](Self::error) returns one afterwards.
    pub fn read(&mut self, bytes: &[u8], until: ReadUntil, mut data: impl FnMut(&[u8])) -> usize {
        let mut read = 0;
        while read < bytes.len() {
            match self.state {
                State::End | State::Malformed(_) => break,
                State::ChunkStart if until == ReadUntil::EndOfChunk => break,
                State::DataStart(left) | State::Data(left) => {
                    let available = left.min((bytes.len() - read) as u64);
                    let end = read + available as usize;
                    data(&bytes[read..end]);
                    read = end;
                    self.state =
                        if available == left { State::DataEnd } else { State::Data(left - available) };
                }
                _ => match self.state_after(bytes[read]) {
                    Ok(state) => {
                        self.state = state;
                        read += 1;
                    }
                    Err(error) => self.state = State::Malformed(error),
                },
            }
        }
        read
    }

    /// Returns the state after one byte of framing.
    fn state_after(&self, byte: u8) -> Result<State, FramingError> {
        match self.state {
            State::ChunkStart => self.size_after(0, 0, byte),
            State::Size { size, line } => match byte {
                b' ' | b'\t' | b';' | b'\r' => self.size_line_after(size, line, byte),
                _ => self.size_after(size, line, byte),
            },
            State::SizePadding { size, line } => match byte {
                b' ' | b'\t' | b';' | b'\r' => self.size_line_after(size, line, byte),
                _ => Err(FramingError::SizeUnreadable),
            },
            State::Extension { size, line } => match byte {
                b'\r' => self.size_line_after(size, line, byte),
                b'\n' => Err(FramingError::SizeUnreadable),
                _ => Ok(State::Extension { size, line: self.lengthened_line(size, line, byte)? }),
            },
            State::SizeLineFeed { size, .. } => match (byte, size) {
                (b'\n', 0) => Ok(State::TrailerStart { section: 0 }),
                (b'\n', size) => Ok(State::DataStart(size)),
                _ => Err(FramingError::SizeUnreadable),
            },
            State::DataEnd if byte == b'\r' || self.has_fault(Fault::AcceptsMisfit) => {
                Ok(State::DataLineFeed)
            }
            State::DataLineFeed if byte == b'\n' || self.has_fault(Fault::AcceptsMisfit) => {
                Ok(State::ChunkStart)
            }
            State::DataEnd | State::DataLineFeed => Err(FramingError::DataMisfit),
            State::TrailerStart { section } if byte == b'\r' => {
                self.lengthened_section(section, 1)?;
                Ok(State::FinalLineFeed)
            }
            State::TrailerStart { section } | State::TrailerName { section } => {
                self.trailer_name_after(section, byte)
            }
            State::TrailerValue { section } => {
                let following = if byte == b'\r' { 1 } else { LINE_END_BYTES };
                let section = self.lengthened_section(section, following + LINE_END_BYTES)?;
                match byte {
                    b'\r' => Ok(State::TrailerLineFeed { section }),
                    b'\t' => Ok(State::TrailerValue { section }),
                    _ if byte.is_ascii_control() => Err(FramingError::TrailerUnreadable),
                    _ => Ok(State::TrailerValue { section }),
                }
            }
            State::TrailerLineFeed { section } if byte == b'\n' => {
                let section = self.lengthened_section(section, LINE_END_BYTES)?;
                let is_counted_alone = self.has_fault(Fault::CountsTrailerLinesAlone);
                Ok(State::TrailerStart { section: if is_counted_alone { 0 } else { section } })
            }
            State::FinalLineFeed if byte == b'\n' => Ok(State::End),
            State::TrailerLineFeed { .. } | State::FinalLineFeed => Err(FramingError::TrailerUnreadable),
            // The caller reads data itself, and nothing after the body.
            State::DataStart(_) | State::Data(_) | State::End | State::Malformed(_) => Ok(self.state),
        }
    }

    /// Returns the state after a digit of a size.
    fn size_after(&self, size: u64, line: u32, byte: u8) -> Result<State, FramingError> {
        let digit = char::from(byte).to_digit(16).ok_or(FramingError::SizeUnreadable)?;
        let line = self.lengthened_line(size, line, byte)?;
        let longer = size.saturating_mul(16).saturating_add(digit.into());
        let compared = if self.has_fault(Fault::ComparesBeforeLastDigit) { size } else { longer };
        if compared > self.limits.max_stated_bytes {
            return Err(FramingError::ChunkTooLarge);
        }
        Ok(State::Size { size: longer, line })
    }

    /// Returns the state after a byte that ends the digits or the white space of a size line.
    fn size_line_after(&self, size: u64, line: u32, byte: u8) -> Result<State, FramingError> {
        let line = self.lengthened_line(size, line, byte)?;
        Ok(match byte {
            b'\r' => State::SizeLineFeed { size, line },
            b';' => State::Extension { size, line },
            _ => State::SizePadding { size, line },
        })
    }

    /// Returns the length of a size line with one more byte.
    fn lengthened_line(&self, size: u64, line: u32, byte: u8) -> Result<u32, FramingError> {
        let is_zero = size == 0 && byte == b'0';
        let in_extension = matches!(self.state, State::Extension { .. });
        if is_zero && self.has_fault(Fault::IgnoresZerosInLine)
            || in_extension && self.has_fault(Fault::IgnoresExtensionsInLine)
        {
            return Ok(line);
        }
        let following = if byte == b'\r' { 1 } else { LINE_END_BYTES };
        let is_within = line + 1 + following <= self.limits.max_size_line_bytes;
        is_within.then_some(line + 1).ok_or(FramingError::SizeLineTooLong)
    }

    /// Returns the length of a trailer section with one more byte, behind which at least `following` others come.
    fn lengthened_section(&self, section: u32, following: u32) -> Result<u32, FramingError> {
        let is_within = section + 1 + following <= self.limits.max_trailer_bytes;
        is_within.then_some(section + 1).ok_or(FramingError::TrailerTooLong)
    }

    /// Returns the state after a byte of a trailer's name.
    fn trailer_name_after(&self, section: u32, byte: u8) -> Result<State, FramingError> {
        let is_first = matches!(self.state, State::TrailerStart { .. });
        let section_end = 2 * LINE_END_BYTES;
        match byte {
            b':' if !is_first => {
                Ok(State::TrailerValue { section: self.lengthened_section(section, section_end)? })
            }
            _ if is_token_byte(byte) => {
                Ok(State::TrailerName { section: self.lengthened_section(section, 1 + section_end)? })
            }
            _ => Err(FramingError::TrailerUnreadable),
        }
    }
}

/// Whether a byte may be part of a header field's name (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

#[cfg(test)]
mod tests;
