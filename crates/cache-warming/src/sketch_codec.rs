//! Binary encoding of a [`Sketch`] for the fleet's table: a byte of format version, then postcard. Times are
//! encoded as ages, because members share no clock.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::sketch::{PrefixStats, Sketch, MAX_HOLDERS, MAX_PREFILL_NODES};
use crate::types::{Member, Ms, Node, PromptPrefix};

/// Format version that is written, and the only one accepted.
pub const FORMAT_VERSION: u8 = 1;
/// Maximum number of prefixes in an encoded sketch.
pub const MAX_PREFIXES: usize = 4096;
/// Maximum total, weight or undercount accepted from another member, in tokens. A sketch that exceeds it is
/// rejected.
pub const MAX_COUNT_TOKENS: f64 = 1e15;

/// Why a sketch from another member was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SketchDecodeError {
    #[error("encoded sketch has format {found}, but this build reads only format {FORMAT_VERSION}")]
    Format { found: u8 },
    #[error("encoded sketch is truncated or does not match its format")]
    Malformed,
    #[error("encoded sketch has {found} prefixes, but at most {MAX_PREFIXES} are accepted")]
    TooMany { found: usize },
    #[error("encoded sketch has a half-life of {found} ms, but this member uses {own} ms")]
    HalfLife { found: Ms, own: Ms },
    #[error("encoded sketch has a count that is out of range, or counts that add up to more than its total")]
    Count,
}

impl SketchDecodeError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            SketchDecodeError::Format { .. } => {
                "Run the same build on all gateways; until then the sketch of the other gateway is ignored."
            }
            SketchDecodeError::Malformed => {
                "Compare the builds of both gateways; if they are the same, restart the sending gateway."
            }
            SketchDecodeError::TooMany { .. } => {
                "Lower the number of prefixes in the settings file of the sending gateway."
            }
            SketchDecodeError::HalfLife { .. } => {
                "Set the same half-life in the settings file of every gateway."
            }
            SketchDecodeError::Count => "Restart the sending gateway; its counts are corrupt.",
        }
    }
}

#[derive(Serialize, Deserialize)]
struct EncodedPrefix {
    prefix: PromptPrefix,
    tokens: u32,
    weight: f64,
    age: Ms,
    prefill_nodes: Vec<(Node, Ms)>,
    holders: Vec<Member>,
}

#[derive(Serialize, Deserialize)]
struct EncodedSketch {
    half_life: Ms,
    total: f64,
    max_undercount: f64,
    prefixes: Vec<EncodedPrefix>,
}

/// Encodes the heaviest prefixes in at most `room` bytes, lowering their number until they fit. Prefixes that
/// are left out raise the undercount of the encoded sketch. A sketch without prefixes is returned even if it
/// is larger than `room`.
pub fn encode(sketch: &Sketch, room: usize, now: Ms) -> Vec<u8> {
    let mut reduced = sketch.clone();
    reduced.decay(now);
    let mut count = reduced.len().min(MAX_PREFIXES);
    loop {
        reduced.keep_heaviest(count);
        let prefixes = reduced
            .hottest(count)
            .into_iter()
            .map(|(prefix, stats)| encode_prefix(prefix, stats, now))
            .collect();
        let encoded = EncodedSketch {
            half_life: reduced.half_life(),
            total: reduced.total(),
            max_undercount: reduced.max_undercount(),
            prefixes,
        };
        let bytes = postcard::to_extend(&encoded, vec![FORMAT_VERSION]).unwrap_or_default();
        if bytes.len() <= room || count == 0 {
            return bytes;
        }
        // Scales the count by the ratio of room to size, and lowers it by at least one.
        count = (count * room / bytes.len()).min(count - 1);
    }
}

/// Decodes another member's sketch, which was encoded `age` ms ago, with this member's capacity and
/// half-life.
pub fn decode(
    bytes: &[u8], capacity: usize, half_life: Ms, age: Ms, now: Ms,
) -> Result<Sketch, SketchDecodeError> {
    let (format, rest) = bytes.split_first().ok_or(SketchDecodeError::Malformed)?;
    if *format != FORMAT_VERSION {
        return Err(SketchDecodeError::Format { found: *format });
    }
    let encoded: EncodedSketch = postcard::from_bytes(rest).map_err(|_| SketchDecodeError::Malformed)?;
    if encoded.prefixes.len() > MAX_PREFIXES {
        return Err(SketchDecodeError::TooMany { found: encoded.prefixes.len() });
    }
    if encoded.half_life != half_life {
        return Err(SketchDecodeError::HalfLife { found: encoded.half_life, own: half_life });
    }
    let in_range = |amount: f64| (0.0..=MAX_COUNT_TOKENS).contains(&amount);
    let counted: f64 = encoded.prefixes.iter().map(|p| p.weight).sum();
    // Apart from rounding, a valid sketch never counts more than its total.
    let consistent = counted + encoded.max_undercount <= encoded.total * 1.000_001 + 1.0;
    if !(in_range(encoded.total)
        && in_range(encoded.max_undercount)
        && encoded.prefixes.iter().all(|p| in_range(p.weight))
        && consistent)
    {
        return Err(SketchDecodeError::Count);
    }
    let encoded_at = now.saturating_sub(age);
    let stats: HashMap<_, _> =
        encoded.prefixes.into_iter().map(|p| (p.prefix, decode_prefix(p, encoded_at))).collect();
    let mut sketch = Sketch::new(capacity, half_life, encoded_at);
    sketch.restore(encoded.total, encoded.max_undercount, stats);
    sketch.keep_heaviest(capacity);
    sketch.decay(now);
    Ok(sketch)
}

fn encode_prefix(prefix: PromptPrefix, stats: &PrefixStats, now: Ms) -> EncodedPrefix {
    let prefill_nodes =
        stats.prefill_nodes.iter().map(|(node, at)| (*node, now.saturating_sub(*at))).collect();
    let age = now.saturating_sub(stats.last_requested);
    EncodedPrefix {
        prefix,
        tokens: stats.tokens,
        weight: stats.weight,
        age,
        prefill_nodes,
        holders: stats.holders.clone(),
    }
}

fn decode_prefix(encoded: EncodedPrefix, encoded_at: Ms) -> PrefixStats {
    let last_requested = encoded_at.saturating_sub(encoded.age);
    let mut stats = PrefixStats {
        tokens: encoded.tokens,
        weight: encoded.weight,
        last_requested,
        prefill_nodes: Vec::new(),
        holders: Vec::new(),
    };
    let (nodes, members) = (
        encoded.prefill_nodes.into_iter().take(MAX_PREFILL_NODES),
        encoded.holders.into_iter().take(MAX_HOLDERS),
    );
    nodes.for_each(|(node, age)| stats.record_prefill(node, encoded_at.saturating_sub(age)));
    members.for_each(|member| stats.insert_holder(member));
    stats
}
