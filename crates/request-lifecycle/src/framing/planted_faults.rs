//! Faults that can be planted in the parser of chunked bodies, to verify that the model checker finds each of them.
//!
//! The mechanism is in [`planting`](crate::planting).

use serde::{Deserialize, Serialize};

use super::ChunkPosition;
use crate::planting::plantable;

/// A fault of the parser of chunked bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// The size is compared with its limit before its last digit is added.
    ComparesBeforeLastDigit,
    /// Leading zeros do not count for the length of a size line.
    IgnoresZerosInLine,
    /// Extensions do not count for the length of a size line.
    IgnoresExtensionsInLine,
    /// Each line of the trailer section has the limit of the whole section.
    CountsTrailerLinesAlone,
    /// The line end behind a chunk's data may be any two bytes.
    AcceptsMisfit,
}

plantable!(ChunkPosition, Fault);
