//! Faults that can be planted in the machine of a client's connection, to show that the model checker finds each of them.
//!
//! Only the `mutants` feature, which the model checker alone enables, can plant one. In any other build
//! [`Connection::has_fault`] is the constant `false`, and the compiler removes what depends on it.

use serde::{Deserialize, Serialize};

use super::Connection;

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

#[cfg(feature = "mutants")]
impl Connection {
    /// Plants a fault, or removes the one planted.
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    /// Whether this fault is planted.
    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}

#[cfg(not(feature = "mutants"))]
impl Connection {
    /// Whether this fault is planted: never, in a build without the feature.
    #[inline(always)]
    pub(super) fn has_fault(&self, _: Fault) -> bool {
        false
    }
}
