//! Backoff, holds and time limits of polls, for push mode and for polling.
//!
//! The module has constants and pure functions only; [`PollSchedule`](super::PollSchedule) uses them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Freshness limit: time after discovery becomes reachable by which a gateway is expected to have its list, whatever
/// polls failed in between. Given by the protocol.
const FRESHNESS_LIMIT: Duration = Duration::from_millis(6_000);
/// Freshness limit after a new configuration has moved discovery to another address.
const FRESHNESS_LIMIT_AFTER_MOVE: Duration = Duration::from_millis(4_000);
/// Part of the freshness limit that is reserved for the poll that succeeds.
const RESPONSE_TIME_RESERVE: Duration = Duration::from_millis(1_000);
/// Share of a round that each gateway is given. If a hundred gateways start together and poll within 5 s, all of them
/// are answered; within 2 s a third of them are rejected, and without a delay nearly all.
const ROUND_TIME_PER_GATEWAY: Duration = Duration::from_millis(50);
/// Maximum ratio of the mean backoff after repeated rejections to one round. It allows for a discovery service that
/// can answer only a fifth of the polls of a round.
const MAX_THROTTLED_BACKOFF_ROUNDS: u32 = 4;
/// Upper bound of the mean backoff after repeated rejections.
const MAX_THROTTLED_BACKOFF: Duration = Duration::from_millis(20_000);
/// Maximum ratio of a backoff to its mean; the minimum is 0.5.
const MAX_JITTER_FACTOR: f64 = 1.5;

/// State of discovery's current address, on which the freshness limit depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressState {
    /// A poll has succeeded at this address, or discovery has never moved.
    Established,
    /// Discovery has moved to this address, and no poll has succeeded there yet.
    JustMoved,
}

/// Parameters of backoff and of the time limits of polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackoffPolicy {
    /// Mean backoff after the first lost poll. It is short, because discovery continues the watch of the lost
    /// poll only if the next poll follows soon.
    pub initial_backoff: Duration,
    /// Maximum mean backoff after lost polls.
    pub max_backoff: Duration,
    /// Duration of a round, in which every gateway polls once; zero in push mode, where polls cost discovery nothing.
    pub round: Duration,
    /// Maximum mean backoff after repeated rejections.
    #[serde(rename = "longest_round")]
    pub max_throttled_backoff: Duration,
    /// Maximum time for which discovery may hold a poll for changes.
    pub hold: Duration,
    /// Time after the hold within which a response must begin; the poll counts as lost afterwards.
    pub answer_grace: Duration,
    /// Time within which a response to a poll for the full list must begin in push mode; `None` where discovery is
    /// polled.
    pub full_list_timeout: Option<Duration>,
    /// Maximum total duration of a failed poll, the backoff after it and the response to the next poll: usually,
    /// and at an address to which discovery has just moved.
    pub freshness_limit: (Duration, Duration),
}

impl BackoffPolicy {
    /// Policy of push mode, in which polls go to an agent on the same machine and cost nothing.
    ///
    /// A gateway is expected to have the agent's list whether or not a watch is open, and may have to obey a drain
    /// within 250 ms, so the time limit of a poll for the full list and the backoff after it stay below that
    /// together.
    pub const PUSHED: BackoffPolicy = BackoffPolicy {
        initial_backoff: Duration::from_millis(30),
        max_backoff: Duration::from_millis(30),
        round: Duration::ZERO,
        max_throttled_backoff: Duration::from_millis(30),
        hold: Duration::from_millis(1_000),
        answer_grace: Duration::from_millis(500),
        full_list_timeout: Some(Duration::from_millis(150)),
        freshness_limit: (Duration::ZERO, Duration::ZERO),
    };

    /// Policy for a number of gateways (`gateway_count`) that poll discovery.
    ///
    /// A gateway is expected to have the list even if it has not polled for `poll_limit`, which bounds the freshness
    /// limit; zero means that there is no such rule.
    pub fn polled(gateway_count: u32, poll_limit: Duration) -> BackoffPolicy {
        let freshness_limit =
            if poll_limit.is_zero() { FRESHNESS_LIMIT } else { FRESHNESS_LIMIT.min(poll_limit) };
        BackoffPolicy {
            // Short enough for discovery to continue the watch of the lost poll.
            initial_backoff: Duration::from_millis(100).min(freshness_limit / 4),
            max_backoff: Duration::from_millis(2_500),
            round: (ROUND_TIME_PER_GATEWAY * gateway_count)
                .min(freshness_limit.saturating_sub(RESPONSE_TIME_RESERVE)),
            max_throttled_backoff: (ROUND_TIME_PER_GATEWAY * MAX_THROTTLED_BACKOFF_ROUNDS * gateway_count)
                .min(MAX_THROTTLED_BACKOFF),
            // Short, so that a lost watch is detected soon.
            hold: Duration::from_millis(2_000),
            answer_grace: Duration::from_millis(1_000),
            full_list_timeout: None,
            freshness_limit: (freshness_limit, freshness_limit.min(FRESHNESS_LIMIT_AFTER_MOVE)),
        }
    }

    /// Returns the maximum mean backoff after a failed poll of this duration that leaves time for the next response.
    pub(super) fn max_mean_backoff(&self, address: AddressState, poll_duration: Duration) -> Duration {
        self.freshness_limit(address)
            .saturating_sub(RESPONSE_TIME_RESERVE + poll_duration)
            .div_f64(MAX_JITTER_FACTOR)
    }

    /// Returns the maximum duration of a poll that leaves time for the initial backoff and the next response.
    pub(super) fn max_poll_duration(&self, address: AddressState) -> Duration {
        self.freshness_limit(address)
            .saturating_sub(RESPONSE_TIME_RESERVE + self.initial_backoff.mul_f64(MAX_JITTER_FACTOR))
            .max(self.answer_grace)
    }

    fn freshness_limit(&self, address: AddressState) -> Duration {
        let (established, just_moved) = self.freshness_limit;
        match address {
            AddressState::Established => established,
            AddressState::JustMoved => just_moved,
        }
    }
}
