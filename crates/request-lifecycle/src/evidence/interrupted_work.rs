//! Whether a server still works on an interrupted attempt.

use serde::{Deserialize, Serialize};

use super::Observation;

/// What is known about a server's work on an interrupted attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum InterruptedWork {
    /// There is no evidence that the server has noticed the interruption.
    #[default]
    MayRun,
    /// The connection was reset by the server or by a device in between. The server may not have received the
    /// reset, and a suspended process continues its work later. A connection that is opened now can show
    /// whether the process has terminated or is running.
    Reset,
    /// The server has stopped working on the attempt.
    Ended,
}

impl InterruptedWork {
    /// Returns what is known after a further observation.
    ///
    /// A terminated process refuses connections, and its work has ended with it. A process that responds on a
    /// connection opened after the reset is not suspended, so the reset is presumed to reach it within the
    /// propagation delay that [`Observation::ResponseAfterReset`] includes. A missing response after a reset proves
    /// nothing.
    pub fn after(self, observation: Observation) -> InterruptedWork {
        match (self, observation) {
            (InterruptedWork::Ended, _) => InterruptedWork::Ended,
            (_, Observation::ResponseOnConnection | Observation::ServerClose) => InterruptedWork::Ended,
            (_, Observation::Reset) => InterruptedWork::Reset,
            (InterruptedWork::Reset, Observation::RefusedAfterReset | Observation::ResponseAfterReset) => {
                InterruptedWork::Ended
            }
            (known, _) => known,
        }
    }
}
