//! Timers that the driver was asked for: by a token, with the time each was due.

use std::collections::BTreeMap;

use crate::Member;

pub(crate) enum Due {
    Swim(foca::Timer<Member>),
    Round,
    Repair,
    Hello,
    Age,
}

#[derive(Default)]
pub(crate) struct Timers {
    last: u64,
    waiting: BTreeMap<u64, (u64, Due)>,
}

impl Timers {
    /// The token for what is due at `at`.
    pub(crate) fn add(&mut self, at: u64, due: Due) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, (at, due));
        self.last
    }

    /// What was due, and how late it is. `None`: no such token, or it came before.
    pub(crate) fn take(&mut self, token: u64, now: u64) -> Option<(Due, u64)> {
        self.waiting.remove(&token).map(|(at, due)| (due, now.saturating_sub(at)))
    }
}
