//! Faults that can be planted in the machine of a client's connection, to show that the model checker finds each of them.
//! [`planting`](crate::planting) has how.

use serde::{Deserialize, Serialize};

use super::Connection;
use crate::planting::plantable;

/// A fault of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// A connection with an open request is evicted.
    EvictsOpenRequest,
    /// A connection is handed over with bytes that were read and not passed on.
    HandsOverHalfHead,
    /// A connection is handed over before what was written to it has left.
    HandsOverUnwritten,
    /// A connection is kept alive after a body that was not read to its end.
    KeepsAfterUnread,
}

plantable!(Connection, Fault);
