//! The world around the parser of chunked bodies: a server that writes any bytes, judged after each one by the set of all sound
//! lines. Limits are small, so that each is met at every point of a body.

use glenrail_request_lifecycle::framing::{ChunkPosition, Fault, FramingLimits, ReadUntil};
use serde::{Deserialize, Serialize};

use crate::request::Log;
use crate::rules::Rule;
use crate::scenario::{AnyScenario, Scenario};

/// The bytes that the server chooses from: digits of which some state too much, and each byte with a meaning of its own.
const ALPHABET: &[u8] = b"0128; x:\r\n";

const LIMITS: FramingLimits =
    FramingLimits { max_stated_bytes: 2, max_size_line_bytes: 5, max_trailer_bytes: 7 };

const LINE_END: &[u8] = b"\r\n";

/// The bounds of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Number of bytes that the server writes.
    pub bytes: u8,
    /// A fault planted in the parser.
    pub fault: Option<Fault>,
}

/// The server writes a byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write(pub u8);

/// What a body consists of, in the order of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Part {
    SizeLine,
    Data { left: u64 },
    DataEnd,
    TrailerSection,
    End,
}

/// A state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    position: ChunkPosition,
    part: Part,
    /// Bytes of the part that is being written, if it is not data.
    written: Vec<u8>,
    bytes: u8,
    has_ended: bool,
    violated: Option<Rule>,
}

/// Returns the size that a complete size line states; `None` if the line is not sound.
fn stated_size(line: &[u8]) -> Option<u64> {
    let line = line.strip_suffix(LINE_END).filter(|_| line.len() <= LIMITS.max_size_line_bytes as usize)?;
    if line.iter().any(|byte| LINE_END.contains(byte)) {
        return None;
    }
    let size = line.split(|byte| *byte == b';').next()?.trim_ascii_end();
    let size = std::str::from_utf8(size).ok()?;
    let size = u64::from_str_radix(size, 16).ok()?;
    (size <= LIMITS.max_stated_bytes).then_some(size)
}

/// Whether a complete trailer section is sound.
fn is_trailer_section(section: &[u8]) -> bool {
    let Some(mut lines) = section.strip_suffix(LINE_END) else { return false };
    while !lines.is_empty() {
        let Some(end) = lines.windows(LINE_END.len()).position(|bytes| bytes == LINE_END) else {
            return false;
        };
        let (line, rest) = (&lines[..end], &lines[end + LINE_END.len()..]);
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        let is_name = !name.is_empty() && name.iter().all(u8::is_ascii_alphanumeric);
        if !is_name || value.iter().any(|byte| LINE_END.contains(byte)) {
            return false;
        }
        lines = rest;
    }
    section.len() <= LIMITS.max_trailer_bytes as usize
}

/// Whether a sound part begins with these bytes: tries all endings.
fn can_be_completed(begun: &[u8], max_length: usize, is_sound: &impl Fn(&[u8]) -> bool) -> bool {
    if is_sound(begun) {
        return true;
    }
    begun.len() < max_length
        && ALPHABET.iter().any(|byte| can_be_completed(&[begun, &[*byte]].concat(), max_length, is_sound))
}

impl World {
    /// Returns the part behind the complete part; `None` if it is not complete.
    fn next_part(&self) -> Option<Part> {
        match self.part {
            Part::SizeLine => Some(match stated_size(&self.written)? {
                0 => Part::TrailerSection,
                left => Part::Data { left },
            }),
            Part::Data { left } => Some(if left > 1 { Part::Data { left: left - 1 } } else { Part::DataEnd }),
            Part::DataEnd => (self.written == LINE_END).then_some(Part::SizeLine),
            Part::TrailerSection => is_trailer_section(&self.written).then_some(Part::End),
            Part::End => None,
        }
    }

    /// Whether what was written of the part begins a sound one.
    fn is_sound(&self) -> bool {
        let written = &self.written[..];
        match self.part {
            Part::SizeLine => {
                let is_size_line = |line: &[u8]| stated_size(line).is_some();
                can_be_completed(written, LIMITS.max_size_line_bytes as usize, &is_size_line)
            }
            Part::TrailerSection => {
                can_be_completed(written, LIMITS.max_trailer_bytes as usize, &is_trailer_section)
            }
            Part::DataEnd => LINE_END.starts_with(written),
            Part::Data { .. } | Part::End => true,
        }
    }

    fn write(&mut self, byte: u8) {
        self.bytes -= 1;
        let is_data = matches!(self.part, Part::Data { .. });
        self.written.push(byte);
        let is_sound = self.is_sound();
        if let Some(next) = self.next_part() {
            self.part = next;
            self.written.clear();
        }
        let mut data = Vec::new();
        self.position.read(&[byte], ReadUntil::EndOfBody, |part| data.extend_from_slice(part));
        self.has_ended = !is_sound || self.part == Part::End;
        let expected_data: &[u8] = if is_data { &[byte] } else { &[] };
        self.violated = match self.position.error() {
            None if !is_sound => Some(Rule::MalformedFramingIsTold),
            Some(_) if is_sound => Some(Rule::SoundFramingIsAccepted),
            None if data != expected_data || self.position.is_ended() != (self.part == Part::End) => {
                Some(Rule::DataIsExact)
            }
            _ => None,
        };
    }
}

impl Scenario for Setup {
    type World = World;
    type Action = Write;

    fn start(&self) -> World {
        let mut position = ChunkPosition::new(LIMITS);
        position.plant(self.fault);
        World {
            position,
            part: Part::SizeLine,
            written: Vec::new(),
            bytes: self.bytes,
            has_ended: false,
            violated: None,
        }
    }

    fn enabled_actions(&self, world: &World, actions: &mut Vec<Write>) {
        if world.violated.is_none() && !world.has_ended && world.bytes > 0 {
            actions.extend(ALPHABET.iter().copied().map(Write));
        }
    }

    fn apply(&self, world: &mut World, Write(byte): Write, _: &mut Log) {
        world.write(byte);
    }

    fn is_inevitable(_: &World, _: Write) -> bool {
        false
    }

    fn violated(world: &World) -> Option<Rule> {
        world.violated
    }

    /// A server may stop anywhere; how long a line may take is a rule of the response's time limits.
    fn has_terminated(_: &World) -> bool {
        true
    }

    fn to_any(&self) -> AnyScenario {
        AnyScenario::Framing(*self)
    }
}
