//! When discovery is called: a watch that holds goes on at once; one that fails is tried again after a pause.
//!
//! Discovery is one service for all gateways: calls wait in turn there, and one that has waited for too long has cost
//! it as much as one that it answers. Gateways start together. Where all call in one moment, and call again as soon as
//! they were turned away, each call keeps the others out for good. So each gateway draws its own moment, from a seed that no
//! two share, out of a time that gives every gateway its turn, and draws from twice the time whenever it is turned away again.
//! But what discovery has counts as told some seconds after it could be reached, whatever became of the calls between: a
//! call that failed, the pause after it and the next answer come out of one time, for as long as all gateways fit into it.
//!
//! Where lists are pushed, calls go to an agent on the gateway's own machine, which answers at once and at no cost, but
//! is silent while discovery is down; and what it has counts as told whether or not anybody asks. So there nothing waits
//! for its turn, and until a call has been answered the whole list is asked for, again and again: an answer to that
//! can be missed after a moment, where one to a watch may be a whole hold away.

mod backoff;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use backoff::BackoffPolicy;

/// What the next call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Poll {
    /// The whole list; its answer must have begun within this time.
    FullList { within: Duration },
    /// Changes to the version known, for which the call may be held; its answer must have begun within this time.
    Changes { hold: Duration, within: Duration },
}

/// The bounds of one call: one that reaches any of them is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Its answer must have begun, the time to connect included.
    pub first_byte: Duration,
    /// Each part of its answer must come so soon after the one before.
    pub between_parts: Duration,
    /// It must have ended, whatever has come.
    pub total: Duration,
}

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PollFailure {
    /// It broke, was not answered in time, or could not be read.
    Lost,
    /// Discovery has too much to do; it may say how long it wants to be left alone.
    Throttled(Option<Duration>),
}

/// A watch of discovery, as far as its calls are concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PollSchedule {
    pauses: BackoffPolicy,
    /// Calls that failed since the last one that was answered.
    poll_failed: u32,
    /// Of these, calls that were turned away.
    turned_away: u32,
    /// The last call was answered, by the place that is asked now.
    current: bool,
    /// The place that is asked now is a new one, and has answered no call yet.
    address_changed: bool,
    random: u64,
}

impl PollSchedule {
    /// The calls of one gateway; no two may have the same seed.
    pub fn new(pauses: BackoffPolicy, seed: u64) -> Self {
        let random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        PollSchedule {
            pauses,
            poll_failed: 0,
            turned_away: 0,
            current: false,
            address_changed: false,
            random,
        }
    }

    /// Calls that failed since the last one that was answered.
    pub fn failures(&self) -> u32 {
        self.poll_failed
    }

    /// The pause before the first call of a gateway that can serve by an older list.
    pub fn initial_delay(&mut self) -> Duration {
        self.pauses.round.mul_f64(self.unit())
    }

    /// What the next call asks for; `known`: there is a version that changes can be told from.
    pub fn next_poll(&self, known: bool) -> Poll {
        let BackoffPolicy { hold, answer_grace: late, full_list_timeout: at_once, .. } = self.pauses;
        match at_once {
            Some(within) if !self.current => Poll::FullList { within },
            _ if known => Poll::Changes { hold, within: hold + late },
            _ => Poll::FullList { within: (hold + late).min(self.pauses.longest_call(self.address_changed)) },
        }
    }

    /// How long the call for this may take.
    pub fn limits(&self, ask: Poll) -> Limits {
        let BackoffPolicy { answer_grace: late, full_list_timeout: at_once, .. } = self.pauses;
        let (Poll::FullList { within } | Poll::Changes { within, .. }) = ask;
        match at_once {
            // An agent that stops in the middle of an answer has fallen silent; a long list may still come in parts.
            Some(part) => Limits { first_byte: within, between_parts: part, total: within + late },
            None => Limits { first_byte: within, between_parts: late, total: within },
        }
    }

    /// A call was answered: the next one follows at once, and nothing is held against discovery.
    pub fn poll_succeeded(&mut self) {
        (self.poll_failed, self.turned_away, self.current, self.address_changed) = (0, 0, true, false);
    }

    /// Discovery has another address: nothing is held against that one.
    pub fn address_changed(&mut self) {
        (self.poll_failed, self.turned_away, self.current, self.address_changed) = (0, 0, false, true);
    }

    /// A call failed that took so long: the pause before the next one, from half the mean to one and a half times it. All
    /// that passes until the next call has its answer comes out of one time, so that what discovery has when it can be
    /// reached again is here before it counts as told. Only where so many gateways ask that discovery cannot answer all of
    /// them in that time do those that are turned away again wait longer.
    pub fn poll_failed(&mut self, why: PollFailure, took: Duration) -> Duration {
        let (lost, away) = (self.poll_failed - self.turned_away, self.turned_away);
        (self.poll_failed, self.current) = (self.poll_failed.saturating_add(1), false);
        let BackoffPolicy { initial_backoff: first, max_backoff: most, round, longest_round, .. } =
            self.pauses;
        let room = self.pauses.max_mean_backoff(self.address_changed, took);
        let all_in_time = longest_round <= self.pauses.max_mean_backoff(false, Duration::ZERO);
        let (least, doublings, most) = match why {
            PollFailure::Lost => (first, lost, most.min(room)),
            PollFailure::Throttled(_) => {
                self.turned_away = self.turned_away.saturating_add(1);
                let most = if away == 0 || all_in_time { room } else { longest_round.max(room) };
                (round, away, most)
            }
        };
        let most = most.max(first);
        let pause =
            least.max(first).saturating_mul(1 << doublings.min(16)).min(most).mul_f64(0.5 + self.unit());
        match why {
            // Whoever is told the same time must not come back in the same moment.
            PollFailure::Throttled(Some(wanted)) => {
                pause.max(wanted.min(most).mul_f64(1.0 + self.unit() / 2.0))
            }
            _ => pause,
        }
    }

    /// The next number in [0, 1) (xorshift).
    fn unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
