//! Faults that can be planted in the table of request ids, to verify that the model checker finds each of them.
//!
//! The mechanism is in [`planting`](crate::planting).

use serde::{Deserialize, Serialize};

use super::RequestIdTable;
use crate::planting::plantable;

/// A fault of the table of request ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// A process grants ids itself while another one is the arbiter.
    GrantsWithoutArbiter,
    /// A successor becomes the arbiter without the ids that are in use.
    ForgetsOpenIds,
    /// The id of a stream is not sent to the process that continues it.
    ForgetsStream,
    /// A process that has returned arbitration goes on granting ids.
    GrantsAfterReturn,
    /// A process becomes the arbiter though its successor has passed arbitration on.
    ForgetsPassedArbitration,
    /// An id that another process has released is kept.
    IgnoresRelease,
    /// An id that is granted after its claim was withdrawn is kept.
    KeepsWithdrawnClaim,
}

plantable!([K: Ord] RequestIdTable<K>, Fault);
