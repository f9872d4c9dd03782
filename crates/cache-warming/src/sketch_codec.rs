//! Binary encoding of a [`Sketch`] for the fleet's table: a byte of format version, then postcard. Times are
//! encoded as ages, because members share no clock.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::sketch::{Seen, Sketch, HOLDERS, READ_AT};
use crate::types::{Beginning, Member, Ms, Node};

/// Format version that is written, and the only one accepted.
pub const FORMAT: u8 = 1;
/// Maximum number of prefixes in an encoded sketch.
pub const MOST: usize = 4096;
/// Maximum total, weight or undercount accepted from another member, in tokens. A sketch that exceeds it is
/// rejected.
pub const HEAVIEST: f64 = 1e15;

/// Why a sketch from another member was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WordError {
    #[error("encoded sketch has format {found}, but this build reads only format {FORMAT}")]
    Format { found: u8 },
    #[error("encoded sketch is truncated or does not match its format")]
    Malformed,
    #[error("encoded sketch has {found} prefixes, but at most {MOST} are accepted")]
    TooMany { found: usize },
    #[error("encoded sketch has a half-life of {found} ms, but this member uses {own} ms")]
    HalfLife { found: Ms, own: Ms },
    #[error("encoded sketch has a count that is out of range, or counts that add up to more than its total")]
    Weight,
}

impl WordError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            WordError::Format { .. } => {
                "Run the same build on all gateways; until then the sketch of the other gateway is ignored."
            }
            WordError::Malformed => {
                "Compare the builds of both gateways; if they are the same, restart the sending gateway."
            }
            WordError::TooMany { .. } => {
                "Lower the number of prefixes in the settings file of the sending gateway."
            }
            WordError::HalfLife { .. } => "Set the same half-life in the settings file of every gateway.",
            WordError::Weight => "Restart the sending gateway; its counts are corrupt.",
        }
    }
}

#[derive(Serialize, Deserialize)]
struct Line {
    beginning: Beginning,
    tokens: u32,
    weight: f64,
    age: Ms,
    read_at: Vec<(Node, Ms)>,
    holders: Vec<Member>,
}

#[derive(Serialize, Deserialize)]
struct Word {
    half_life: Ms,
    total: f64,
    short_by: f64,
    lines: Vec<Line>,
}

/// Encodes as many of the heaviest prefixes as fit into `room` bytes. What is left out raises the undercount
/// of the encoded sketch.
pub fn to_bytes(sketch: &Sketch, room: usize, now: Ms) -> Vec<u8> {
    let mut told = sketch.clone();
    told.decay(now);
    let mut count = told.len().min(MOST);
    loop {
        told.cut(count);
        let lines =
            told.hottest(count).into_iter().map(|(beginning, seen)| line(beginning, seen, now)).collect();
        let word =
            Word { half_life: told.half_life(), total: told.total(), short_by: told.short_by(), lines };
        let bytes = postcard::to_extend(&word, vec![FORMAT]).unwrap_or_default();
        if bytes.len() <= room || count == 0 {
            return bytes;
        }
        // Scales the count by the ratio of room to size, and lowers it by at least one.
        count = (count * room / bytes.len()).min(count - 1);
    }
}

/// Decodes another member's sketch, which was encoded `age` ms ago, with this member's capacity and
/// half-life.
pub fn from_bytes(
    bytes: &[u8], capacity: usize, half_life: Ms, age: Ms, now: Ms,
) -> Result<Sketch, WordError> {
    let (format, rest) = bytes.split_first().ok_or(WordError::Malformed)?;
    if *format != FORMAT {
        return Err(WordError::Format { found: *format });
    }
    let word: Word = postcard::from_bytes(rest).map_err(|_| WordError::Malformed)?;
    if word.lines.len() > MOST {
        return Err(WordError::TooMany { found: word.lines.len() });
    }
    if word.half_life != half_life {
        return Err(WordError::HalfLife { found: word.half_life, own: half_life });
    }
    let fits = |amount: f64| (0.0..=HEAVIEST).contains(&amount);
    let counted: f64 = word.lines.iter().map(|l| l.weight).sum();
    // Apart from rounding, a valid sketch never counts more than its total.
    let honest = counted + word.short_by <= word.total * 1.000_001 + 1.0;
    if !(fits(word.total) && fits(word.short_by) && word.lines.iter().all(|l| fits(l.weight)) && honest) {
        return Err(WordError::Weight);
    }
    let told_at = now.saturating_sub(age);
    let seen: HashMap<_, _> = word.lines.into_iter().map(|l| (l.beginning, seen(l, told_at))).collect();
    let mut sketch = Sketch::new(capacity, half_life, told_at);
    sketch.restore(word.total, word.short_by, seen);
    sketch.cut(capacity);
    sketch.decay(now);
    Ok(sketch)
}

fn line(beginning: Beginning, seen: &Seen, now: Ms) -> Line {
    let read_at = seen.read_at.iter().map(|(node, at)| (*node, now.saturating_sub(*at))).collect();
    let age = now.saturating_sub(seen.last_asked);
    Line { beginning, tokens: seen.tokens, weight: seen.weight, age, read_at, holders: seen.holders.clone() }
}

fn seen(line: Line, told_at: Ms) -> Seen {
    let last_asked = told_at.saturating_sub(line.age);
    let mut seen = Seen {
        tokens: line.tokens,
        weight: line.weight,
        last_asked,
        read_at: Vec::new(),
        holders: Vec::new(),
    };
    let (nodes, members) = (line.read_at.into_iter().take(READ_AT), line.holders.into_iter().take(HOLDERS));
    nodes.for_each(|(node, age)| seen.read(node, told_at.saturating_sub(age)));
    members.for_each(|member| seen.held_by(member));
    seen
}
