//! Pending timers of [`crate::Fleet`]: what each token that the driver holds stands for, and when it was due, in
//! milliseconds on the driver's clock.

use std::collections::BTreeMap;

use crate::Member;

/// What is to be done when a timer fires.
pub(crate) enum TimerAction {
    /// A timer of the membership library.
    Swim(foca::Timer<Member>),
    /// The next round of gossip.
    Gossip,
    /// Digests to the next member.
    AntiEntropy,
    /// Greetings to seeds.
    Hello,
    /// Removal of expired cells, and renewal of this member's own.
    Expiry,
}

/// Timers by token. Tokens are never reused.
#[derive(Default)]
pub(crate) struct Timers {
    last_token: u64,
    pending: BTreeMap<u64, (u64, TimerAction)>,
}

impl Timers {
    /// Registers a timer that is due at `due_at`, and returns its token.
    pub(crate) fn add(&mut self, due_at: u64, action: TimerAction) -> u64 {
        self.last_token += 1;
        self.pending.insert(self.last_token, (due_at, action));
        self.last_token
    }

    /// Removes a timer that fired: what is due, and how late it is in milliseconds. `None`: an unknown token, or one that
    /// fired before.
    pub(crate) fn take(&mut self, token: u64, now: u64) -> Option<(TimerAction, u64)> {
        self.pending.remove(&token).map(|(due_at, action)| (action, now.saturating_sub(due_at)))
    }
}
