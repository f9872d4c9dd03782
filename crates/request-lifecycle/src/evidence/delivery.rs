//! Whether an attempt that was written has reached its server, while no response to it has come.

use super::Observation;

/// What is known of the delivery of an attempt that was written on a connection that worked immediately before.
///
/// The connection may have fallen silent in the one round trip between its check and the write, and a decode server may take any
/// time to its first token. What silences connections with no error (a translation table that was lost, a balancer that failed
/// over) strikes those that stand; a newer one may work beside them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// Nothing shows it.
    #[default]
    Unknown,
    /// A connection that stood when the attempt was written gives no answer any more, so the attempt's own may not either.
    Doubted,
    /// It is taken to have arrived.
    Shown,
}

impl Delivery {
    /// What is known once this has been seen, too.
    ///
    /// For an answer on a newer connection where no standing one was asked, this is a presumption: that the attempt's own
    /// connection has not fallen silent in the round trip between its check and the write.
    pub fn after(self, observation: Observation) -> Delivery {
        match (self, observation) {
            (Delivery::Shown, _) => Delivery::Shown,
            (_, Observation::AnswerHere | Observation::AnswerOnStanding) => Delivery::Shown,
            (_, Observation::SilenceOnStanding) => Delivery::Doubted,
            (Delivery::Unknown, Observation::AnswerOnNewer) => Delivery::Shown,
            (known, _) => known,
        }
    }
}
