//! Durations of the polling of discovery: backoff, holds and time-outs, where lists are pushed and where they are polled.
//!
//! Constants and pure functions; the schedule that uses them is [`PollSchedule`](super::PollSchedule).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What discovery has counts as known to the gateway so long after discovery could be reached (the protocol's figure),
/// whatever failed in between.
const FRESHNESS_LIMIT: Duration = Duration::from_millis(6_000);
/// The same after a new configuration has moved discovery to another address.
const FRESHNESS_LIMIT_AFTER_MOVE: Duration = Duration::from_millis(4_000);
/// The part of that time that is left to the poll that is answered in the end.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// Where discovery is polled, each gateway is allotted so much of discovery's time: a hundred that start together and
/// poll within 5 s are all answered (measured; within 2 s a third of them are rejected, at once nearly all).
const TIME_PER_GATEWAY: Duration = Duration::from_millis(50);
/// A gateway that is rejected repeatedly leaves discovery so many times that: it may have time for a fifth of the polls.
const MAX_ROUND_FACTOR: u32 = 4;
/// But such a gateway polls again after this mean backoff at the latest.
const MAX_ROUND: Duration = Duration::from_millis(20_000);
/// A backoff is drawn between half its mean and so many times its mean.
const MAX_JITTER: f64 = 1.5;

/// How long discovery has been at its present address, as far as limits depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Address {
    /// It has answered a poll there, or never moved.
    Established,
    /// It has just moved there, and has not answered any poll yet.
    JustMoved,
}

/// How backoff is drawn, and how long polls may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackoffPolicy {
    /// The mean backoff after one lost poll: if the next poll comes soon enough, discovery continues the same watch.
    pub initial_backoff: Duration,
    /// The longest mean backoff after lost polls.
    pub max_backoff: Duration,
    /// The time in which all gateways together poll once; zero where a poll costs discovery nothing.
    pub round: Duration,
    /// The longest mean backoff of a gateway that is rejected repeatedly.
    pub longest_round: Duration,
    /// How long discovery may hold a poll for changes before it answers.
    pub hold: Duration,
    /// How soon after its hold a poll must be answered before it counts as lost.
    pub answer_grace: Duration,
    /// How soon a poll for the full list is answered, where an agent on the same machine does so at once.
    pub full_list_timeout: Option<Duration>,
    /// How long a poll that failed, the backoff after it and the answer to the next one may take together: usually, and
    /// at an address to which discovery has just moved.
    pub freshness_limit: (Duration, Duration),
}

impl BackoffPolicy {
    /// Where lists are pushed: polls go to an agent on the same machine and cost nothing.
    ///
    /// What the agent has counts as known whether or not a watch is open, and a drain may have to be obeyed within
    /// 250 ms: no poll and no backoff takes longer.
    pub const PUSHED: BackoffPolicy = BackoffPolicy {
        initial_backoff: Duration::from_millis(30),
        max_backoff: Duration::from_millis(30),
        round: Duration::ZERO,
        longest_round: Duration::from_millis(30),
        hold: Duration::from_millis(1_000),
        answer_grace: Duration::from_millis(500),
        full_list_timeout: Some(Duration::from_millis(150)),
        freshness_limit: (Duration::ZERO, Duration::ZERO),
    };

    /// Where so many gateways poll discovery.
    ///
    /// A gateway that has not polled for `ask_within` counts as informed all the same; zero if there is no such rule.
    pub fn polled(routers: u32, ask_within: Duration) -> BackoffPolicy {
        let freshness_limit =
            if ask_within.is_zero() { FRESHNESS_LIMIT } else { FRESHNESS_LIMIT.min(ask_within) };
        BackoffPolicy {
            // Short enough for discovery to continue the same watch.
            initial_backoff: Duration::from_millis(100).min(freshness_limit / 4),
            max_backoff: Duration::from_millis(2_500),
            round: (TIME_PER_GATEWAY * routers).min(freshness_limit.saturating_sub(ANSWER_TIME)),
            longest_round: (TIME_PER_GATEWAY * MAX_ROUND_FACTOR * routers).min(MAX_ROUND),
            // Short, so that a lost watch is noticed soon.
            hold: Duration::from_millis(2_000),
            answer_grace: Duration::from_millis(1_000),
            full_list_timeout: None,
            freshness_limit: (freshness_limit, freshness_limit.min(FRESHNESS_LIMIT_AFTER_MOVE)),
        }
    }

    /// The longest mean backoff after a poll that took so long, if the next poll is to be answered in time.
    pub(super) fn max_mean_backoff(&self, address: Address, poll_duration: Duration) -> Duration {
        self.freshness_limit(address).saturating_sub(ANSWER_TIME + poll_duration).div_f64(MAX_JITTER)
    }

    /// How long a poll may take so that the shortest backoff still fits after it.
    pub(super) fn max_poll_duration(&self, address: Address) -> Duration {
        self.freshness_limit(address)
            .saturating_sub(ANSWER_TIME + self.initial_backoff.mul_f64(MAX_JITTER))
            .max(self.answer_grace)
    }

    fn freshness_limit(&self, address: Address) -> Duration {
        let (established, just_moved) = self.freshness_limit;
        match address {
            Address::Established => established,
            Address::JustMoved => just_moved,
        }
    }
}
