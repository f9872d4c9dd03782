//! Whether an attempt that was written has reached its server, while it has no response yet.

use super::Observation;

/// What is known about the delivery of an attempt that was written to a connection that worked immediately before.
///
/// The connection may have failed without an error in the one round trip between its check and the write, and a
/// decode server may take any time to its first token. Such failures (a lost address translation table, a load
/// balancer failover) break the connections that are open at that time; a connection that is opened later may work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// There is no evidence about the delivery.
    #[default]
    Unknown,
    /// A connection that was open when the attempt was written has stopped responding, so the attempt's own
    /// connection may have failed too.
    Doubtful,
    /// The attempt is considered delivered.
    Confirmed,
}

impl Delivery {
    /// Returns what is known after a further observation.
    ///
    /// An answer on a newer connection counts only while no call on an earlier one has failed. It is then presumed
    /// that the attempt's own connection did not fail in the round trip between its check and the write.
    pub fn after(self, observation: Observation) -> Delivery {
        match (self, observation) {
            (Delivery::Confirmed, _) => Delivery::Confirmed,
            (_, Observation::ResponseOnConnection | Observation::ResponseOnEarlierConnection) => {
                Delivery::Confirmed
            }
            (_, Observation::TimeoutOnEarlierConnection) => Delivery::Doubtful,
            (Delivery::Unknown, Observation::ResponseOnLaterConnection) => Delivery::Confirmed,
            (known, _) => known,
        }
    }
}
