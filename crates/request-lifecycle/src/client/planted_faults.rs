//! Faults that can be planted in the machine of a client connection, to verify that the model checker finds each of
//! them.
//!
//! The mechanism is in [`planting`](crate::planting).

use serde::{Deserialize, Serialize};

use super::Connection;
use crate::planting::plantable;

/// A fault of the machine of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// A connection with a request in progress is evicted.
    EvictsOpenRequest,
    /// A connection is handed over while bytes of a request have been read and not processed.
    HandsOverHalfHead,
    /// A connection is handed over while writes to it are blocked.
    HandsOverUnwritten,
    /// A connection is kept alive although a request body was not read to its end.
    KeepsAfterUnread,
}

plantable!(Connection, Fault);
