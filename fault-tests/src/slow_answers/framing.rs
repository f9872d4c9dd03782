//! Framing of stand-in servers' answers: sound in unusual ways, and malformed in any of the ways that the protocol names.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;

use super::pace::{Part, Step};

/// Time for which a server goes on behind what is malformed.
const MALFORMED_TIME: Duration = Duration::from_secs(12);
const MALFORMED_PAUSE_MS: std::ops::Range<u64> = 20..700;
/// Pauses in a size line, of which there are at most two: a line of a sound server is complete within 4 s.
const SIZE_LINE_PAUSE_MS: std::ops::Range<u64> = 100..1_700;
const MAX_SIZE_LINE_PIECES: usize = 3;
const MAX_PADDING: usize = 300;
const EVENT: &str = "data: spoilt\n\n";
const OVERSIZED: [&str; 6] =
    ["40000000", "7fffffff", "c0000000", "7fffffffffffffff", "0000c0000000", "c0000000;a=b"];

/// How a sound server frames the events of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoundFraming {
    /// Sizes with leading zeros.
    Zeros,
    /// Sizes with extensions.
    Extensions,
    /// Size lines in pieces.
    SlowSizeLines,
    /// All events in one chunk.
    OneChunk,
    /// A head that states the length instead of chunks.
    StatedLength,
    /// Trailers behind the last chunk.
    Trailers,
}

impl SoundFraming {
    const ALL: [SoundFraming; 6] = [
        SoundFraming::Zeros,
        SoundFraming::Extensions,
        SoundFraming::SlowSizeLines,
        SoundFraming::OneChunk,
        SoundFraming::StatedLength,
        SoundFraming::Trailers,
    ];

    pub fn draw(random: &mut StdRng) -> Self {
        Self::ALL[random.random_range(0..Self::ALL.len())]
    }

    /// Returns the size line of a chunk in this framing.
    pub fn size_line(self, size: usize, random: &mut StdRng) -> String {
        let padding = random.random_range(1..MAX_PADDING);
        match self {
            SoundFraming::Zeros => format!("{}{size:x}\r\n", "0".repeat(padding)),
            SoundFraming::Extensions => format!("{size:X};name=\"{}\"\r\n", "v".repeat(padding)),
            _ => format!("{size:x}\r\n"),
        }
    }
}

/// Returns the steps that write a size line, in up to three pieces.
pub fn size_line_in_pieces(line: &str, random: &mut StdRng) -> Vec<Step> {
    let pieces = random.random_range(1..=MAX_SIZE_LINE_PIECES);
    let length = line.len().div_ceil(pieces);
    let mut steps = Vec::new();
    for piece in line.as_bytes().chunks(length) {
        if !steps.is_empty() {
            steps.push(pause(random, SIZE_LINE_PAUSE_MS));
        }
        steps.push(Step::Write(piece.to_vec(), Part::EventBegun));
    }
    steps
}

fn pause(random: &mut StdRng, range: std::ops::Range<u64>) -> Step {
    Step::Pause(Duration::from_millis(random.random_range(range)))
}

/// What a server writes in place of a chunk, and then goes on with.
struct Malformed {
    begin: String,
    goes_on: &'static str,
}

fn malformed(begin: &str, goes_on: &'static str) -> Malformed {
    Malformed { begin: begin.into(), goes_on }
}

/// Draws what a server writes in place of a chunk.
fn draw_malformed(random: &mut StdRng) -> Malformed {
    let oversized = OVERSIZED[random.random_range(0..OVERSIZED.len())];
    match random.random_range(0..10) {
        0..3 => malformed(&format!("{oversized}\r\n"), EVENT),
        3 => malformed(&format!("{oversized}\r\n"), ": comment\n\n"),
        4 => malformed("0", "0"),
        5 => malformed("1f;", "x"),
        6 => malformed("zz\r\n", "d\r\ndata: spoilt\n\n\r\n"),
        // A size that is smaller than its data.
        7 => malformed("5\r\ndata: misfit\n\n\r\n", EVENT),
        8 => malformed("0\r\nx: ", "y"),
        _ => malformed("\r", "\r"),
    }
}

/// Returns the steps of a server that goes on with `malformed`.
fn going_on(malformed: &Malformed, random: &mut StdRng) -> Vec<Step> {
    let mut steps = vec![Step::Write(malformed.begin.clone().into_bytes(), Part::Malformed)];
    let interval = Duration::from_millis(random.random_range(MALFORMED_PAUSE_MS));
    let count = (MALFORMED_TIME.as_millis() / interval.as_millis()) as usize;
    for _ in 0..count {
        steps.push(Step::Pause(interval));
        steps.push(Step::Write(malformed.goes_on.into(), Part::Malformed));
    }
    steps
}

/// Returns the steps of a server that writes what is malformed behind its last chunk.
pub fn malformed_chunk(random: &mut StdRng) -> Vec<Step> {
    let malformed = draw_malformed(random);
    going_on(&malformed, random)
}

/// Returns the steps of an answer that is malformed before its first event; `head` is that of a sound one.
pub fn malformed_begin(head: &str, random: &mut StdRng) -> Vec<Step> {
    let stated = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 3221225472\r\n\r\n";
    let malformed = match random.random_range(0..4) {
        0 => malformed(stated, EVENT),
        1 => malformed("HTTP/1.1 200 OK\r\nx: ", "y"),
        _ => {
            let chunk = draw_malformed(random);
            Malformed { begin: format!("{head}{}", chunk.begin), ..chunk }
        }
    };
    going_on(&malformed, random)
}
