//! What a member's told traffic counts: no more than others see.

use crate::{portion, Member};

/// What engines report may lag what members tell, by so many thousandths.
const SLACK: u64 = 1_100;
/// Where no engines' reports bear witness, a member counts at most so many times what the middle one of all tells.
const TIMES_MIDDLE: u64 = 3;

/// What a member tells of traffic: its own, and the whole fleet's by the engines' reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    pub member: Member,
    pub own: u64,
    pub seen: Option<u64>,
}

/// What each told traffic counts, in the order given. Where most members see the whole by engines' reports, all are
/// cut to one height such that together they are no more than the middle one of those sees; a liar then counts at
/// most its true traffic, or the greatest of an honest member's, whichever is more. Else each is cut to a multiple
/// of the middle one of all.
pub fn capped(told: &[Told]) -> Vec<u64> {
    let mut seen: Vec<u64> = told.iter().filter_map(|t| t.seen).collect();
    let mut own: Vec<u64> = told.iter().map(|t| t.own).collect();
    own.sort_unstable();
    let height = if seen.len() * 2 > told.len() {
        seen.sort_unstable();
        let whole = portion(seen[(seen.len() - 1) / 2], SLACK, 1_000);
        height(&own, whole)
    } else {
        let middle = own.get(own.len().saturating_sub(1) / 2).copied().unwrap_or(0);
        middle.max(1).saturating_mul(TIMES_MIDDLE)
    };
    told.iter().map(|t| t.own.min(height)).collect()
}

/// The greatest height to which all of these, smallest first, may reach so that together they are no more.
fn height(sorted: &[u64], whole: u64) -> u64 {
    let mut rest = whole;
    for (n, own) in sorted.iter().enumerate() {
        let even = rest / (sorted.len() - n) as u64;
        if *own > even {
            return even;
        }
        rest -= own;
    }
    u64::MAX
}
