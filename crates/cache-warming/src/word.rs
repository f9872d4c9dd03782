//! A sketch as bytes, so that it can travel in the fleet's table: a byte of format version, then postcard. Moments travel as
//! ages, because members share no clock.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::sketch::{Seen, Sketch, HOLDERS, READ_AT};
use crate::terms::{Beginning, Member, Ms, Node};

/// The format written, and the only one read.
pub const FORMAT: u8 = 1;
/// No word tells more beginnings than this.
pub const MOST: usize = 4096;
/// No member's word counts for more tokens than this, whatever it says.
pub const HEAVIEST: f64 = 1e15;

/// Why a member's word is left out.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WordError {
    #[error("a word of hot beginnings has format {found}, this build reads {FORMAT}")]
    Format { found: u8 },
    #[error("a word of hot beginnings breaks off or is not what its format says")]
    Malformed,
    #[error("a word of hot beginnings tells {found} of them, at most {MOST} are read")]
    TooMany { found: usize },
    #[error("a word of hot beginnings has half-life {found} ms, this member's is {own} ms")]
    HalfLife { found: Ms, own: Ms },
    #[error(
        "a word of hot beginnings has a weight that is no amount of tokens, or breaks the bound it promises"
    )]
    Weight,
}

impl WordError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            WordError::Format { .. } => {
                "Bring all gateways to one build; until then the word of the other one is left out."
            }
            WordError::Malformed => {
                "Compare the builds of both gateways; if they are alike, restart the one that tells it."
            }
            WordError::TooMany { .. } => {
                "Lower the number of beginnings that the telling gateway's file sets."
            }
            WordError::HalfLife { .. } => "Set the same half-life in the operators' file of every gateway.",
            WordError::Weight => "Restart the gateway that tells it; its counts are spoilt.",
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

/// The heaviest beginnings, as many as fit into `room` bytes; the rest is added to what the weights may be short by.
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
        // By how much it is too long, and at least one fewer.
        count = (count * room / bytes.len()).min(count - 1);
    }
}

/// Reads another member's word, which was made `age` ago, with this member's capacity and half-life.
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
    // Rounding of sums apart, no honest word counts more than its total.
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
