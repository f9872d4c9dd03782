//! Faults that can be planted in the machine of a connection to a server, to show that the model checker finds each of them.
//!
//! Only the `mutants` feature, which the model checker alone enables, can plant one. In any other build
//! [`Connection::has_fault`] is the constant `false`, and the compiler removes what depends on it.

use serde::{Deserialize, Serialize};

use super::Connection;

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
