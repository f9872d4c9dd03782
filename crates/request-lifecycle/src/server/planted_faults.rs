//! Faults that can be planted in the machine of a server connection, to verify that the model checker finds each of
//! them.
//!
//! The mechanism is in [`planting`](crate::planting).

use serde::{Deserialize, Serialize};

use super::Connection;
use crate::planting::plantable;

/// A fault of the machine of a server connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// A request is written to a server that drains.
    WritesToDrained,
    /// A request is sent again on another connection after a part of it was written.
    ReplacesAfterByte,
    /// A request that was written completely is reported as never having run.
    CallsSentNeverRan,
    /// A connection to a server that drains returns to the pool.
    KeepsDrained,
}

plantable!(Connection, Fault);
