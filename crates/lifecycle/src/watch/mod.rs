//! When discovery is called: a watch that holds goes on at once; one that fails is tried again after a pause.
//!
//! Discovery is one service for all gateways: calls wait in turn there, and one that has waited for too long has cost
//! it as much as one that it answers. Gateways start together. Where all call in one moment, and call again as soon as
//! they were turned away, each call keeps the others out for good. So each gateway draws its own moment, from a seed that no
//! two share, out of a time that gives every gateway its turn, and draws from twice the time whenever it is turned away.
//!
//! Where lists are pushed, calls go to an agent on the gateway's own machine, which answers at once and at no cost, but
//! is silent while discovery is down; and what it has counts as told whether or not anybody asks. So there nothing waits
//! for its turn, and until a call has been answered the whole list is asked for, again and again: an answer to that
//! can be missed after a moment, where one to a watch may be a whole hold away.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How pauses are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pauses {
    /// The mean pause after a call was lost once: a watch whose next call comes soon enough goes on as the same one.
    pub first: Duration,
    /// The longest mean pause after lost calls, which bounds how late a list is once discovery can be reached again.
    pub most: Duration,
    /// The time in which all gateways together call once; none where a call costs discovery nothing.
    pub round: Duration,
    /// The longest mean pause after calls that were turned away.
    pub longest_round: Duration,
    /// For so long discovery may keep a watch waiting.
    pub hold: Duration,
    /// A call must be answered so soon after its hold has passed, or it is taken for lost.
    pub late: Duration,
    /// How soon a call for the whole list is answered, where an agent on the same machine does so at once.
    pub at_once: Option<Duration>,
}

/// What the next call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// The whole list; its answer must have begun within this time.
    Whole { within: Duration },
    /// Changes to the version known, for which the call may be held; its answer must have begun within this time.
    Changes { hold: Duration, within: Duration },
}

impl Ask {
    pub fn within(self) -> Duration {
        match self {
            Ask::Whole { within } | Ask::Changes { within, .. } => within,
        }
    }
}

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failed {
    /// It broke, was not answered in time, or could not be read.
    Lost,
    /// Discovery has too much to do; it may say how long it wants to be left alone.
    TurnedAway(Option<Duration>),
}

/// A watch of discovery, as far as its calls are concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Watch {
    pauses: Pauses,
    /// Calls that failed since the last one that was answered.
    failed: u32,
    /// The last call was answered, by the place that is asked now.
    current: bool,
    random: u64,
}

impl Watch {
    /// The calls of one gateway; no two may have the same seed.
    pub fn new(pauses: Pauses, seed: u64) -> Self {
        Watch { pauses, failed: 0, current: false, random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1 }
    }

    /// Calls that failed since the last one that was answered.
    pub fn failures(&self) -> u32 {
        self.failed
    }

    /// The pause before the first call of a gateway that can serve by an older list.
    pub fn begin(&mut self) -> Duration {
        self.pauses.round.mul_f64(self.unit())
    }

    /// What the next call asks for; `known`: there is a version that changes can be told from.
    pub fn ask(&self, known: bool) -> Ask {
        let Pauses { hold, late, at_once, .. } = self.pauses;
        match at_once {
            Some(within) if !self.current => Ask::Whole { within },
            _ if known => Ask::Changes { hold, within: hold + late },
            _ => Ask::Whole { within: hold + late },
        }
    }

    /// A call was answered: the next one follows at once, and nothing is held against discovery.
    pub fn answered(&mut self) {
        (self.failed, self.current) = (0, true);
    }

    /// Discovery has another address: nothing is held against that one.
    pub fn moved(&mut self) {
        (self.failed, self.current) = (0, false);
    }

    /// A call failed: the pause before the next one, from half the mean to one and a half times it.
    pub fn failed(&mut self, why: Failed) -> Duration {
        let doublings = self.failed.min(16);
        (self.failed, self.current) = (self.failed.saturating_add(1), false);
        let Pauses { first, most, round, longest_round, .. } = self.pauses;
        let (least, most) = match why {
            Failed::Lost => (first, most),
            Failed::TurnedAway(_) => (round.max(first), longest_round.max(first)),
        };
        let pause = least.saturating_mul(1 << doublings).min(most).mul_f64(0.5 + self.unit());
        match why {
            // Whoever is told the same time must not come back in the same moment.
            Failed::TurnedAway(Some(wanted)) => pause.max(wanted.min(most) + pause / 2),
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
