//! Faults that can be planted in the machine of a response's time limits, to verify that the model checker finds each of
//! them.
//!
//! The mechanism is in [`planting`](crate::planting).

use serde::{Deserialize, Serialize};

use super::ResponseTiming;
use crate::planting::plantable;

/// A fault of the machine of a response's time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// The bytes of an incomplete event do not extend the wait.
    IgnoresEventBytes,
    /// Bytes that readers ignore extend the wait like an event.
    CountsIgnoredBytes,
    /// Each byte of a size line extends the wait.
    ExtendsFraming,
    /// A line end still limits the wait after it is complete.
    KeepsFraming,
    /// The size line of a chunk still extends the wait after its data turned out to be no event.
    KeepsChunkOfComment,
    /// An event may be written for ever.
    UnboundedEvent,
    /// The time during which nothing is read counts as a pause of the server.
    CountsSuspension,
    /// The pause in a head is measured from its first byte.
    CountsHeadFromItsBegin,
}

plantable!([T] ResponseTiming<T>, Fault);
