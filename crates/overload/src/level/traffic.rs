//! What a member's told traffic counts: no more than others see.

use crate::{scale_by_ratio, Member};

/// What engines report may lag what members tell, by so many thousandths.
const CLAIM_LIMIT_PER_MILLE: u64 = 1_100;
/// Where no engines' reports bear witness, a member counts at most so many times what the middle one of all tells.
const MAX_TIMES_MEDIAN: u64 = 3;

/// What a member tells of traffic: its own, and the whole fleet's by the engines' reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficClaim {
    pub member: Member,
    pub own_attempts: u64,
    pub observed_fleet_attempts: Option<u64>,
}

/// What each told traffic counts, in the order given. Where most members see the whole by engines' reports, all are
/// cut to one height such that together they are no more than the middle one of those sees; a liar then counts at
/// most its true traffic, or the greatest of an honest member's, whichever is more. Else each is cut to a multiple
/// of the middle one of all.
pub fn capped_attempts(claims: &[TrafficClaim]) -> Vec<u64> {
    let mut observed: Vec<u64> = claims.iter().filter_map(|claim| claim.observed_fleet_attempts).collect();
    let mut sorted: Vec<u64> = claims.iter().map(|claim| claim.own_attempts).collect();
    sorted.sort_unstable();
    let cap = if observed.len() * 2 > claims.len() {
        observed.sort_unstable();
        let limit = scale_by_ratio(observed[(observed.len() - 1) / 2], CLAIM_LIMIT_PER_MILLE, 1_000);
        max_min_cap(&sorted, limit)
    } else {
        let median = sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or(0);
        median.max(1).saturating_mul(MAX_TIMES_MEDIAN)
    };
    claims.iter().map(|claim| claim.own_attempts.min(cap)).collect()
}

/// The greatest height to which all of these, smallest first, may reach so that together they are no more.
fn max_min_cap(sorted: &[u64], limit: u64) -> u64 {
    let mut remaining = limit;
    for (n, attempts) in sorted.iter().enumerate() {
        let equal_part = remaining / (sorted.len() - n) as u64;
        if *attempts > equal_part {
            return equal_part;
        }
        remaining -= attempts;
    }
    u64::MAX
}
