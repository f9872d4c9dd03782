//! The times of a watch, where lists are pushed and where they are asked for.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What discovery has counts as told so long after it could be reached (the protocol's figure), whatever failed between.
const TOLD: Duration = Duration::from_millis(6_000);
/// The same after a new configuration has moved discovery.
const TOLD_AFTER_MOVE: Duration = Duration::from_millis(4_000);
/// Of that time, so much is left to the call that is answered in the end.
const ANSWER: Duration = Duration::from_millis(1_000);
/// Where discovery has to be asked, each gateway is given so much of its time: a hundred that start together and call
/// within 5 s are all answered (measured; within 2 s a third of them are turned away, at once nearly all).
const TURN: Duration = Duration::from_millis(50);
/// Whoever is turned away again and again leaves discovery so many times that: it may have time for a fifth of the calls.
const ROUNDS: u32 = 4;
/// But comes back after this mean pause at the latest.
const LONGEST_ROUND: Duration = Duration::from_millis(20_000);
/// A pause is drawn from half its mean to this many times it.
const DRAWN: f64 = 1.5;

/// How pauses are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackoffPolicy {
    /// The mean pause after a call was lost once: a watch whose next call comes soon enough goes on as the same one.
    pub initial_backoff: Duration,
    /// The longest mean pause after lost calls.
    pub max_backoff: Duration,
    /// The time in which all gateways together call once; none where a call costs discovery nothing.
    pub round: Duration,
    /// The longest mean pause of one that is turned away again and again.
    pub longest_round: Duration,
    /// For so long discovery may keep a watch waiting.
    pub hold: Duration,
    /// A call must be answered so soon after its hold has passed, or it is taken for lost.
    pub answer_grace: Duration,
    /// How soon a call for the whole list is answered, where an agent on the same machine does so at once.
    pub full_list_timeout: Option<Duration>,
    /// A call that failed, the pause after it and the answer to the next one take no longer than this together; nor than
    /// the second of the two at a place that discovery has just moved to.
    pub freshness_limit: (Duration, Duration),
}

impl BackoffPolicy {
    /// Where lists are pushed: calls go to an agent on the same machine, at no cost. What it has counts as told whether or
    /// not a watch is open, and a drain may have to be kept within 250 ms: no call and pause take longer.
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

    /// Where so many gateways have to ask. Whoever has not asked for `ask_within` counts as told all the same; zero: there
    /// is no such rule.
    pub fn polled(routers: u32, ask_within: Duration) -> BackoffPolicy {
        let told = if ask_within.is_zero() { TOLD } else { TOLD.min(ask_within) };
        let pauses = BackoffPolicy {
            // Short enough for the watch to go on as the same one.
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_millis(2_500),
            round: (TURN * routers).min(told.saturating_sub(ANSWER)),
            longest_round: (TURN * ROUNDS * routers).min(LONGEST_ROUND),
            // So that a lost watch is noticed soon.
            hold: Duration::from_millis(2_000),
            answer_grace: Duration::from_millis(1_000),
            full_list_timeout: None,
            freshness_limit: (told, told.min(TOLD_AFTER_MOVE)),
        };
        BackoffPolicy { initial_backoff: pauses.initial_backoff.min(told / 4), ..pauses }
    }

    /// The longest mean pause after a call that took so long, if what the next one tells is to be here in time.
    pub(super) fn max_mean_backoff(&self, moved: bool, took: Duration) -> Duration {
        self.freshness_limit(moved).saturating_sub(ANSWER + took).div_f64(DRAWN)
    }

    /// How long a call may take that leaves room for the shortest pause.
    pub(super) fn longest_call(&self, moved: bool) -> Duration {
        self.freshness_limit(moved)
            .saturating_sub(ANSWER + self.initial_backoff.mul_f64(DRAWN))
            .max(self.answer_grace)
    }

    fn freshness_limit(&self, moved: bool) -> Duration {
        if moved {
            self.freshness_limit.1
        } else {
            self.freshness_limit.0
        }
    }
}
