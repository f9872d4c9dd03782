//! Timer keys: the purpose of a timer, encoded as the number that the caller returns when the timer is due.

use crate::api::{Action, Millis, RequestId};

/// Key of the housekeeping timer. The deadline timer of a request with half of this value as its identifier
/// would have the same key, so that identifier must not be used.
const HOUSEKEEPING_KEY: u64 = 1 << 52;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimerKey {
    /// Runs housekeeping every [`HOUSEKEEPING_INTERVAL`](super::HOUSEKEEPING_INTERVAL).
    Housekeeping,
    /// Rejects or fails the request if it has no first token, because its deadline is near.
    Deadline(RequestId),
    /// Advances the request to its next step.
    NextStep(RequestId),
}

impl TimerKey {
    /// Decodes a key that the caller returned.
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

    /// Returns the action that sets a timer with this key.
    pub(super) fn set(self, due: Millis) -> Action {
        let request = match self {
            TimerKey::Housekeeping => None,
            TimerKey::Deadline(id) | TimerKey::NextStep(id) => Some(id),
        };
        Action::Timer { at: due, key: self.encode(), request }
    }
}
