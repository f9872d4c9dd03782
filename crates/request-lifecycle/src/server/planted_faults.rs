//! Faults that can be planted in the machine of a connection to a server, to show that the model checker finds each of them.
//! [`planting`](crate::planting) has how.

use serde::{Deserialize, Serialize};

use super::Connection;
use crate::planting::plantable;

/// A fault of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// A request is written to a server that drains.
    WritesToDrained,
    /// A request is sent on another connection after a part of it was written.
    ReplacesAfterByte,
    /// A request that was written completely is said never to have run.
    CallsSentNeverRan,
    /// A connection to a server that drains returns to the pool.
    KeepsDrained,
}

plantable!(Connection, Fault);
