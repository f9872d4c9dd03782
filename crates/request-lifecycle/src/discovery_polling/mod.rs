//! Polling schedule for discovery: a successful poll is followed by the next one immediately, a failed one by a
//! backoff.
//!
//! All gateways share one discovery service. Polls queue there, and a poll that times out in the queue costs
//! discovery as much as one that it answers in time. Gateways start together: if all of them polled at the same
//! moment, and again immediately after each rejection, they would overload discovery permanently. Each gateway
//! therefore draws the time of its polls at random, from a seed of its own, out of a round that has room for all
//! gateways, and doubles the range each time it is rejected again. There is an upper bound, the freshness limit: a
//! few seconds after discovery becomes reachable, a gateway is expected to have its list, whatever happened to the
//! polls in between. As long as discovery can answer all gateways within that limit, a failed poll, the backoff
//! after it and the next response together stay within it.
//!
//! In push mode, polls go to an agent on the gateway's own machine, which responds immediately and at no cost, but
//! does not respond while discovery is unavailable. A gateway is expected to have the agent's list whether or not
//! it polls. There are therefore no rounds in push mode, and until a poll succeeds the full list is requested
//! repeatedly: a missing response to such a poll is noticed after a short time, one to a poll for changes only
//! after the whole hold.
//!
//! [`PollSchedule`] owns the failure counts and the random state; the caller owns the clock and makes the calls.

mod backoff;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::backoff::AddressState;
pub use self::backoff::BackoffPolicy;

/// Maximum number of times that the mean backoff is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Kind of a poll, with its durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Poll {
    /// Requests the full list.
    FullList {
        /// Time within which the response must begin.
        within: Duration,
    },
    /// Requests the changes since the known version; discovery may hold the poll until there are changes
    /// (long polling).
    Changes {
        /// Maximum time for which discovery may hold the poll.
        hold: Duration,
        /// Time within which the response must begin, including the hold.
        within: Duration,
    },
}

/// Time limits of one poll, which fails when any of them is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time until the response begins, including the time to connect.
    pub first_byte: Duration,
    /// Maximum time between two parts of the response.
    pub between_parts: Duration,
    /// Maximum time until the response is complete.
    pub total: Duration,
}

/// Why a poll returned no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PollFailure {
    /// The connection broke, no response arrived in time, or the response could not be parsed.
    Lost,
    /// Discovery is overloaded. The duration is that of the `Retry-After` header, if there was one.
    Throttled(Option<Duration>),
}

/// Polling schedule of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PollSchedule {
    policy: BackoffPolicy,
    /// Number of polls that failed since the last successful one.
    failures: u32,
    /// Number of these polls that discovery rejected because it was overloaded.
    throttled: u32,
    /// Whether the last poll succeeded, and at the current address.
    is_current: bool,
    /// Whether discovery has moved to a new address and no poll has succeeded there yet.
    address_changed: bool,
    /// State of the random number generator. It must not be zero.
    random: u64,
}

/// Growth of the mean backoff: it begins at `initial_mean` and doubles with each earlier failure of the same kind.
struct BackoffGrowth {
    initial_mean: Duration,
    doublings: u32,
    max_mean: Duration,
}

impl PollSchedule {
    /// Creates the schedule of one gateway. No two gateways may use the same seed.
    pub fn new(policy: BackoffPolicy, seed: u64) -> Self {
        let random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        PollSchedule { policy, failures: 0, throttled: 0, is_current: false, address_changed: false, random }
    }

    /// Returns the number of polls that failed since the last successful one.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the delay before the first poll of a gateway that can already serve with an older list.
    pub fn initial_delay(&mut self) -> Duration {
        self.policy.round.mul_f64(self.next_unit())
    }

    /// Returns the next poll; `has_version` states whether a version is known since which changes can be requested.
    pub fn next_poll(&self, has_version: bool) -> Poll {
        let BackoffPolicy { hold, answer_grace, full_list_timeout, .. } = self.policy;
        match full_list_timeout {
            Some(within) if !self.is_current => Poll::FullList { within },
            _ if has_version => Poll::Changes { hold, within: hold + answer_grace },
            _ => {
                let max_duration = self.policy.max_poll_duration(self.address_state());
                Poll::FullList { within: (hold + answer_grace).min(max_duration) }
            }
        }
    }

    /// Returns the time limits of this poll.
    pub fn limits(&self, poll: Poll) -> Limits {
        let BackoffPolicy { answer_grace, full_list_timeout, .. } = self.policy;
        let (Poll::FullList { within } | Poll::Changes { within, .. }) = poll;
        match full_list_timeout {
            // An agent that stops in the middle of a response is unresponsive, so the time between two parts
            // is short. A long list may arrive in several parts, so the total is longer than the time for the
            // first byte.
            Some(between_parts) => Limits { first_byte: within, between_parts, total: within + answer_grace },
            None => Limits { first_byte: within, between_parts: answer_grace, total: within },
        }
    }

    /// Records a successful poll. The next one is due immediately, and earlier failures no longer count.
    pub fn poll_succeeded(&mut self) {
        self.reset_failures();
        self.is_current = true;
        self.address_changed = false;
    }

    /// Records that discovery moved to another address. Failures at the former address no longer count.
    pub fn address_changed(&mut self) {
        self.reset_failures();
        self.is_current = false;
        self.address_changed = true;
    }

    fn address_state(&self) -> AddressState {
        if self.address_changed {
            AddressState::JustMoved
        } else {
            AddressState::Established
        }
    }

    fn reset_failures(&mut self) {
        self.failures = 0;
        self.throttled = 0;
    }

    /// Records that a poll failed after `poll_duration`, and returns the backoff before the next one.
    ///
    /// The backoff is drawn between 0.5 and 1.5 times its mean, and is raised to a longer `Retry-After`
    /// within the same maximum. The failed poll, the backoff and the next response together stay within the
    /// freshness limit, so that the list of a discovery service that becomes reachable again is received in
    /// time. Only if so many gateways poll that discovery cannot answer all of them within that limit does a
    /// gateway that is rejected repeatedly wait longer.
    pub fn poll_failed(&mut self, failure: PollFailure, poll_duration: Duration) -> Duration {
        let BackoffGrowth { initial_mean, doublings, max_mean } = self.growth(failure, poll_duration);
        self.failures = self.failures.saturating_add(1);
        if matches!(failure, PollFailure::Throttled(_)) {
            self.throttled = self.throttled.saturating_add(1);
        }
        self.is_current = false;
        let factor = 1 << doublings.min(MAX_DOUBLINGS);
        let mean = initial_mean.saturating_mul(factor).min(max_mean);
        let backoff = mean.mul_f64(0.5 + self.next_unit());
        match failure {
            PollFailure::Throttled(Some(retry_after)) => {
                // Gateways that received the same Retry-After must not poll at the same moment.
                let spread = retry_after.min(max_mean).mul_f64(1.0 + self.next_unit() / 2.0);
                backoff.max(spread)
            }
            PollFailure::Throttled(None) | PollFailure::Lost => backoff,
        }
    }

    /// Returns the growth of the mean backoff for a failure of this kind, given the failures before it.
    fn growth(&self, failure: PollFailure, poll_duration: Duration) -> BackoffGrowth {
        let BackoffPolicy { initial_backoff, max_backoff, round, max_throttled_backoff, .. } = self.policy;
        let max_in_time = self.policy.max_mean_backoff(self.address_state(), poll_duration);
        match failure {
            PollFailure::Lost => BackoffGrowth {
                initial_mean: initial_backoff,
                doublings: self.failures - self.throttled,
                max_mean: max_backoff.min(max_in_time).max(initial_backoff),
            },
            PollFailure::Throttled(_) => {
                // Whether discovery can answer all gateways within the freshness limit, so that even the longest
                // backoff after repeated rejections stays within it.
                let all_gateways_fit = max_throttled_backoff
                    <= self.policy.max_mean_backoff(AddressState::Established, Duration::ZERO);
                let must_be_in_time = self.throttled == 0 || all_gateways_fit;
                let max_mean =
                    if must_be_in_time { max_in_time } else { max_throttled_backoff.max(max_in_time) };
                BackoffGrowth {
                    initial_mean: round.max(initial_backoff),
                    doublings: self.throttled,
                    max_mean: max_mean.max(initial_backoff),
                }
            }
        }
    }

    /// Returns the next random number in [0, 1) (xorshift64).
    fn next_unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
