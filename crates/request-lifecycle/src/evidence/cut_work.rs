//! Whether a server still works on an attempt that was cut off.

use serde::{Deserialize, Serialize};

use super::Observation;

/// What is known of a server's work on an attempt that was cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CutWork {
    /// Nothing shows that the server has noticed the cut.
    #[default]
    MayRun,
    /// The connection was reset from the other side, by the server or by what stands between: the server need not know, and a
    /// process that stands still goes on with it later. A connection that is begun now shows which it is.
    Reset,
    /// The server does nothing more for it.
    Ended,
}

impl CutWork {
    /// What is known once this has been seen, too.
    ///
    /// A process that has ended refuses connections, and its work has ended with it. One that answers on a connection begun
    /// after the reset runs, so it does not stand still: the reset is presumed to reach it within the propagation delay that
    /// [`Observation::AnswerAfterReset`] includes. Silence after a reset shows nothing.
    pub fn after(self, observation: Observation) -> CutWork {
        match (self, observation) {
            (CutWork::Ended, _) => CutWork::Ended,
            (_, Observation::AnswerHere | Observation::ServerClose) => CutWork::Ended,
            (_, Observation::Reset) => CutWork::Reset,
            (CutWork::Reset, Observation::RefusedAfterReset | Observation::AnswerAfterReset) => {
                CutWork::Ended
            }
            (known, _) => known,
        }
    }
}
