//! Caps on the traffic that members claim in their reports, by what others observe.

use crate::{scale_by_ratio, Member};

/// Maximum of all claims together, in thousandths of the fleet's traffic by engine reports, which may lag
/// behind the claims.
const CLAIM_LIMIT_PER_MILLE: u64 = 1_100;
/// Maximum of one claim as a multiple of the median claim, where too few members have engine reports.
const MAX_TIMES_MEDIAN: u64 = 3;

/// Traffic that a member claims, in thousandths of an attempt per second: its own, and the whole fleet's by
/// engine reports (`None` without such reports).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficClaim {
    pub member: Member,
    pub own_attempts: u64,
    pub observed_fleet_attempts: Option<u64>,
}

/// Returns the attempts with which each claim counts, in the order given. If a majority of members observes
/// the whole fleet by engine reports, one common cap limits the sum of all claims to the median of these
/// observations plus an allowance for their lag. A single false claim then counts for at most the larger of
/// the member's true traffic plus that allowance, and the largest honest claim. Otherwise the cap is a
/// multiple of the median claim.
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

/// Returns the highest cap at which these claims, smallest first, sum to at most `limit` (max-min fairness);
/// `u64::MAX` if they need no cap.
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
