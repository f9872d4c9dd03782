//! The polling schedule of discovery: a poll that was answered is followed by the next at once, one that failed by a
//! backoff.
//!
//! Discovery is one service for all gateways. Polls queue there, and one that has waited for too long has cost discovery
//! as much as one that it answers. Gateways start together: if all polled in the same moment, and again as soon as they
//! were rejected, each poll would keep the others out for good. So each gateway draws its own moment, from a seed that
//! no two share, out of a round that gives every gateway its turn, and draws from twice the time whenever it is rejected
//! again. But what discovery has counts as known some seconds after it could be reached, whatever happened to the polls
//! in between: a poll that failed, the backoff after it and the next answer must fit into that freshness limit together,
//! for as long as all gateways fit into it.
//!
//! Where lists are pushed, polls go to an agent on the gateway's own machine, which answers at once and at no cost, but
//! is silent while discovery is down; and what it has counts as known whether or not anybody polls. So nothing waits for
//! its turn there, and until a poll has been answered the full list is requested repeatedly: a missing answer to that is
//! noticed after a moment, one to a poll for changes only after a whole hold.
//!
//! [`PollSchedule`] owns the failures counted and the random draws; the caller owns the clock and makes the calls.

mod backoff;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::backoff::Address;
pub use self::backoff::BackoffPolicy;

/// The mean backoff doubles at most so many times.
const MAX_DOUBLINGS: u32 = 16;

/// What the next poll requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Poll {
    /// The full list.
    FullList {
        /// The answer must have begun within this time.
        within: Duration,
    },
    /// Changes since the version known; discovery may hold the poll until there are some.
    Changes {
        /// How long discovery may hold the poll.
        hold: Duration,
        /// The answer must have begun within this time, the hold included.
        within: Duration,
    },
}

/// The time limits of one poll, which is given up when it reaches any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Until its answer has begun, the time to connect included.
    pub first_byte: Duration,
    /// Between one part of its answer and the next.
    pub between_parts: Duration,
    /// Until its answer is complete.
    pub total: Duration,
}

/// Why a poll brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PollFailure {
    /// Its connection broke, it was not answered in time, or its answer could not be parsed.
    Lost,
    /// Discovery is overloaded; it may say how long the gateway should wait (`Retry-After`).
    Throttled(Option<Duration>),
}

/// The schedule of one gateway's polls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PollSchedule {
    policy: BackoffPolicy,
    /// Polls that failed since the last one that was answered.
    failures: u32,
    /// Of these, polls that discovery rejected because it is overloaded.
    throttled: u32,
    /// The last poll was answered, by the present address.
    is_current: bool,
    /// Discovery has a new address, which has not answered any poll yet.
    address_changed: bool,
    /// State of the random number generator, never zero.
    random: u64,
}

/// How the mean backoff grows: it begins at `initial_mean` and doubles with each earlier failure of the same kind.
struct Growth {
    initial_mean: Duration,
    doublings: u32,
    max_mean: Duration,
}

impl PollSchedule {
    /// The schedule of one gateway; no two gateways may have the same seed.
    pub fn new(policy: BackoffPolicy, seed: u64) -> Self {
        let random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        PollSchedule { policy, failures: 0, throttled: 0, is_current: false, address_changed: false, random }
    }

    /// Polls that failed since the last one that was answered.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// How long a gateway that can already serve by an older list waits before its first poll.
    pub fn initial_delay(&mut self) -> Duration {
        self.policy.round.mul_f64(self.next_unit())
    }

    /// What the next poll requests; `known` says whether there is a version since which changes can be requested.
    pub fn next_poll(&self, known: bool) -> Poll {
        let BackoffPolicy { hold, answer_grace, full_list_timeout, .. } = self.policy;
        match full_list_timeout {
            Some(within) if !self.is_current => Poll::FullList { within },
            _ if known => Poll::Changes { hold, within: hold + answer_grace },
            _ => {
                let max_duration = self.policy.max_poll_duration(self.address());
                Poll::FullList { within: (hold + answer_grace).min(max_duration) }
            }
        }
    }

    /// The time limits of this poll.
    pub fn limits(&self, poll: Poll) -> Limits {
        let BackoffPolicy { answer_grace, full_list_timeout, .. } = self.policy;
        let (Poll::FullList { within } | Poll::Changes { within, .. }) = poll;
        match full_list_timeout {
            // An agent that stops in the middle of an answer has become unresponsive; a long list may come in parts.
            Some(between_parts) => Limits { first_byte: within, between_parts, total: within + answer_grace },
            None => Limits { first_byte: within, between_parts: answer_grace, total: within },
        }
    }

    /// A poll was answered: the next one follows at once, and earlier failures are forgotten.
    pub fn poll_succeeded(&mut self) {
        self.reset_failures();
        self.is_current = true;
        self.address_changed = false;
    }

    /// Discovery has another address: failures of the former one do not count for it.
    pub fn address_changed(&mut self) {
        self.reset_failures();
        self.is_current = false;
        self.address_changed = true;
    }

    fn address(&self) -> Address {
        if self.address_changed {
            Address::JustMoved
        } else {
            Address::Established
        }
    }

    fn reset_failures(&mut self) {
        self.failures = 0;
        self.throttled = 0;
    }

    /// Notes that a poll failed after `took`, and returns the backoff before the next one.
    ///
    /// It is drawn between half its mean and one and a half times its mean. The failed poll, the backoff and the next
    /// answer fit into the freshness limit together, so that what discovery has when it can be reached again is here
    /// before it counts as known. Only where so many gateways poll that discovery cannot answer all of them in that time
    /// does a gateway that is rejected again wait longer.
    pub fn poll_failed(&mut self, why: PollFailure, took: Duration) -> Duration {
        let Growth { initial_mean, doublings, max_mean } = self.growth(why, took);
        self.failures = self.failures.saturating_add(1);
        if matches!(why, PollFailure::Throttled(_)) {
            self.throttled = self.throttled.saturating_add(1);
        }
        self.is_current = false;
        let factor = 1 << doublings.min(MAX_DOUBLINGS);
        let mean = initial_mean.saturating_mul(factor).min(max_mean);
        let backoff = mean.mul_f64(0.5 + self.next_unit());
        match why {
            PollFailure::Throttled(Some(retry_after)) => {
                // Gateways that received the same Retry-After must not poll in the same moment.
                let spread = retry_after.min(max_mean).mul_f64(1.0 + self.next_unit() / 2.0);
                backoff.max(spread)
            }
            PollFailure::Throttled(None) | PollFailure::Lost => backoff,
        }
    }

    /// How the mean backoff grows with failures of this kind, by the failures before this one.
    fn growth(&self, why: PollFailure, took: Duration) -> Growth {
        let BackoffPolicy { initial_backoff, max_backoff, round, longest_round, .. } = self.policy;
        let max_in_time = self.policy.max_mean_backoff(self.address(), took);
        match why {
            PollFailure::Lost => Growth {
                initial_mean: initial_backoff,
                doublings: self.failures - self.throttled,
                max_mean: max_backoff.min(max_in_time).max(initial_backoff),
            },
            PollFailure::Throttled(_) => {
                // Whether discovery has time for all gateways within the freshness limit, however often it rejects them.
                let all_fit =
                    longest_round <= self.policy.max_mean_backoff(Address::Established, Duration::ZERO);
                let must_be_in_time = self.throttled == 0 || all_fit;
                let max_mean = if must_be_in_time { max_in_time } else { longest_round.max(max_in_time) };
                Growth {
                    initial_mean: round.max(initial_backoff),
                    doublings: self.throttled,
                    max_mean: max_mean.max(initial_backoff),
                }
            }
        }
    }

    /// The next random number in [0, 1) (xorshift64).
    fn next_unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
