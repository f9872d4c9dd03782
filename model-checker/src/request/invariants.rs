//! Rules that hold in every state of the world.

use glenrail_request_lifecycle::request::{Attempt, AttemptState, RetrySafety, Timer};

use super::calls::{Call, CallState};
use super::World;
use crate::rules::Rule;

impl World {
    pub(super) fn check_invariants(&mut self) {
        let at_most_once = self.machine.policy().retry_safety == RetrySafety::AtMostOnce;
        if self.executions > 1 && at_most_once {
            self.violate(Rule::NeverRunsTwice);
        }
        if self.was_rejected && self.executions > 0 && at_most_once {
            self.violate(Rule::RefusalIsTrue);
        }
        let will_be_released =
            !self.is_finished && (self.is_releasing() || self.armed[Timer::LeaseLimit as usize]);
        if self.has_unclaimed_reservation() && !will_be_released {
            self.violate(Rule::HeldIsLetGo);
        }
    }

    /// Whether a server holds something while no attempt that has arrived waits for its answer.
    pub(super) fn has_unclaimed_reservation(&self) -> bool {
        let reserved = self.servers.iter().any(|server| server.holds_kv_state || server.holds_slot);
        let claims = |(call, attempt): (&Call, &Attempt)| {
            call.has_arrived() && attempt.state != AttemptState::Streaming
        };
        reserved && !self.calls.iter().zip(self.machine.attempts()).any(claims)
    }

    /// Whether a release is in progress, an attempt is being cancelled, or a server is asked after a reset: the attempt is
    /// dropped at once or the question ends within a bounded time, and the release follows.
    pub(super) fn is_releasing(&self) -> bool {
        let is_asking = self.calls.iter().any(|call| call.state == CallState::Asking);
        let is_cancelling =
            self.machine.attempts().iter().any(|attempt| attempt.state == AttemptState::Cancelling);
        self.release.is_some() || is_cancelling || is_asking
    }
}
