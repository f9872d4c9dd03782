//! How strongly retries amplify the load: attempts per request and tries per turn, over the whole fleet.

use crate::level::{ClassRates, ReceivedReport, MAX_REPORT_AGE};
use crate::{scale_by_ratio, Ms, PerMille, PER_MILLE_SCALE};

/// Amplification factors in thousandths; 1000 (no amplification) where there is no data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Amplification {
    /// Attempts at engines per request that got a first attempt.
    pub attempts_per_request: PerMille,
    /// Requests from clients, marked retries included, per request that was not a retry.
    pub tries_per_turn: PerMille,
}

impl Amplification {
    pub fn from_reports(reports: &[ReceivedReport]) -> Amplification {
        let classes = || reports.iter().filter(|r| r.age < MAX_REPORT_AGE).flat_map(|r| &r.report.classes);
        let sum = |count: fn(&ClassRates) -> u32| classes().map(|c| u64::from(count(c))).sum::<u64>();
        let (arrivals, marked_retries) = (sum(|c| c.arrivals), sum(|c| c.marked_retries));
        Amplification {
            attempts_per_request: per_mille_ratio(sum(|c| c.attempts), sum(|c| c.first_attempts)),
            tries_per_turn: per_mille_ratio(arrivals, arrivals.saturating_sub(marked_retries)),
        }
    }
}

impl Amplification {
    /// Returns how strongly clients retry, in thousandths: 0 at one try per turn, 1000 at five or more.
    pub fn retry_pressure(&self) -> PerMille {
        (self.tries_per_turn.saturating_sub(PER_MILLE_SCALE) / 4).min(PER_MILLE_SCALE)
    }
}

/// Returns the ratio in thousandths, at least 1000; 1000 if the denominator is 0.
fn per_mille_ratio(numerator: u64, denominator: u64) -> PerMille {
    if denominator == 0 {
        return PER_MILLE_SCALE;
    }
    u32::try_from(scale_by_ratio(numerator, u64::from(PER_MILLE_SCALE), denominator))
        .unwrap_or(u32::MAX)
        .max(PER_MILLE_SCALE)
}

/// Limits the further attempts of one member to a ratio of its first attempts. The bound holds for the sum
/// over all members too, without communication: over any period, attempts <= first attempts x (1 + ratio) +
/// `max_saved` per member; since the start, without the last term. The fleet's budget also limits the number
/// of further attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryRatioLimiter {
    ratio: PerMille,
    max_saved: u64,
    saved: u64,
    decayed_at: Ms,
}

/// Half-life (ms) of the saved attempts, so that those from a quiet night do not allow a burst of retries in
/// the morning.
const HALF_LIFE: Ms = 10_000;

impl RetryRatioLimiter {
    /// `ratio` is in thousandths of first attempts; at most `max_saved` further attempts may be saved up.
    pub fn new(ratio: PerMille, max_saved: u32, now: Ms) -> Self {
        RetryRatioLimiter {
            ratio,
            max_saved: u64::from(max_saved) * u64::from(PER_MILLE_SCALE),
            saved: 0,
            decayed_at: now,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Ms) {
        self.decay(now);
        self.saved = (self.saved + u64::from(self.ratio)).min(self.max_saved);
    }

    /// Returns whether a further attempt may follow; if so, subtracts it from the saved ones.
    pub fn try_retry(&mut self, now: Ms) -> bool {
        self.decay(now);
        let allowed = self.saved >= u64::from(PER_MILLE_SCALE);
        self.saved -= if allowed { u64::from(PER_MILLE_SCALE) } else { 0 };
        allowed
    }

    fn decay(&mut self, now: Ms) {
        let half_lives = now.saturating_sub(self.decayed_at) / HALF_LIFE;
        if half_lives > 0 {
            self.saved = self.saved.checked_shr(u32::try_from(half_lives).unwrap_or(u32::MAX)).unwrap_or(0);
            self.decayed_at += half_lives * HALF_LIFE;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::level::MemberReport;
    use proptest::prelude::*;

    proptest! {
        /// The further attempts of the fleet stay within the ratio of its first attempts, for any sequence of
        /// requests at any members.
        #[test]
        fn retries_stay_within_the_ratio_of_first_attempts(
            steps in prop::collection::vec((0usize..5, any::<bool>(), 0u64..3_000), 1..400),
            ratio in 0u32..1_000, max_saved in 0u32..40
        ) {
            let mut limiters = vec![RetryRatioLimiter::new(ratio, max_saved, 0); 5];
            let (mut now, mut first_attempts, mut retries) = (0, 0, 0);
            for (member, is_first, elapsed) in steps {
                now += elapsed;
                if is_first {
                    limiters[member].record_first_attempt(now);
                    first_attempts += 1;
                } else {
                    retries += u64::from(limiters[member].try_retry(now));
                }
                prop_assert!(retries * 1_000 <= first_attempts * u64::from(ratio));
            }
        }

        /// The ratios over the fleet follow from the counts of its members, and are never below one.
        #[test]
        fn ratios_are_measured_over_the_whole_fleet(
            counts in prop::collection::vec((1u32..1_000, 0u32..1_000, 0u32..1_000), 1..9)
        ) {
            let reports: Vec<ReceivedReport> = counts.iter().enumerate().map(|(n, (first, retries, marked))| {
                let class = ClassRates {
                    class: 0,
                    first_attempts: *first,
                    attempts: first + retries,
                    arrivals: first + marked,
                    marked_retries: *marked,
                    rejected: 0
                };
                ReceivedReport {
                    member: n as u64,
                    age: 0,
                    report: MemberReport { classes: vec![class], ..MemberReport::default() }
                }
            }).collect();
            let (first, retries, marked) =
                counts.iter().fold((0, 0, 0), |s, c| (s.0 + c.0, s.1 + c.1, s.2 + c.2));
            let amplification = Amplification::from_reports(&reports);
            prop_assert_eq!(amplification.attempts_per_request, (first + retries) * 1_000 / first);
            prop_assert_eq!(amplification.tries_per_turn, (first + marked) * 1_000 / first);
            prop_assert!(
                amplification.retry_pressure() <= 1_000
                    && (amplification.retry_pressure() == 0) == (amplification.tries_per_turn < 1_004)
            );
        }
    }
}
