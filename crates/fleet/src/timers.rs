//! Pending timers of a [`crate::Fleet`]: the action and the due time of each token passed to the driver. Times are
//! milliseconds on the driver's clock.

use std::collections::BTreeMap;

use crate::Member;

/// Action to take when a timer fires.
pub(crate) enum TimerAction {
    /// Pass a timer to the membership library.
    Swim(foca::Timer<Member>),
    /// Run the next round of gossip.
    Gossip,
    /// Send digests to the next member.
    AntiEntropy,
    /// Send hello messages to seeds.
    Hello,
    /// Remove expired cells, and renew this member's own.
    Expiry,
}

/// Pending timers by token. Tokens are never reused.
#[derive(Default)]
pub(crate) struct Timers {
    last_token: u64,
    pending: BTreeMap<u64, (u64, TimerAction)>,
}

impl Timers {
    /// Adds a timer that is due at `due_at`, and returns its token.
    pub(crate) fn add(&mut self, due_at: u64, action: TimerAction) -> u64 {
        self.last_token += 1;
        self.pending.insert(self.last_token, (due_at, action));
        self.last_token
    }

    /// Removes a timer that fired, and returns its action and by how many milliseconds it is late; `None` if the token
    /// is unknown or fired before.
    pub(crate) fn take(&mut self, token: u64, now: u64) -> Option<(TimerAction, u64)> {
        self.pending.remove(&token).map(|(due_at, action)| (action, now.saturating_sub(due_at)))
    }
}
