//! Timer keys: what a timer of the router is for, packed into the number that the caller hands back.

use crate::api::{Action, Millis, RequestId};

/// Key of the housekeeping timer. No request may have half of it as its identifier.
const HOUSEKEEPING_KEY: u64 = 1 << 52;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimerKey {
    /// Housekeeping, every [`HOUSEKEEPING_INTERVAL`](super::HOUSEKEEPING_INTERVAL).
    Housekeeping,
    /// The request has to be answered now.
    Deadline(RequestId),
    /// The request takes its next step.
    NextStep(RequestId),
}

impl TimerKey {
    /// The key that the caller handed back.
    pub(super) fn decode(key: u64) -> Self {
        let id = RequestId(key >> 1);
        match key {
            HOUSEKEEPING_KEY => TimerKey::Housekeeping,
            _ if key & 1 == 1 => TimerKey::NextStep(id),
            _ => TimerKey::Deadline(id),
        }
    }

    fn encode(self) -> u64 {
        match self {
            TimerKey::Housekeeping => HOUSEKEEPING_KEY,
            TimerKey::Deadline(id) => id.0 << 1,
            TimerKey::NextStep(id) => id.0 << 1 | 1,
        }
    }

    /// Sets a timer with this key, due at a time.
    pub(super) fn set(self, due: Millis) -> Action {
        let request = match self {
            TimerKey::Housekeeping => None,
            TimerKey::Deadline(id) | TimerKey::NextStep(id) => Some(id),
        };
        Action::Timer { at: due, key: self.encode(), request }
    }
}
