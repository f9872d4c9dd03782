//! Effects: instructions and notifications from a [`crate::Fleet`] to its driver.

use std::net::SocketAddr;

use crate::{CellId, Incarnation, Member, MemberId, MemberState};

/// One instruction or notification to the driver. Effects are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send one datagram of at most [`crate::MAX_DATAGRAM_BYTES`] bytes.
    Send {
        /// Address of the recipient.
        to: SocketAddr,
        /// The sealed message.
        bytes: Vec<u8>,
    },
    /// Call [`crate::Fleet::handle_timer`] with the token after the delay.
    Timer {
        /// Minimum delay from now, in milliseconds.
        delay_ms: u64,
        /// Identifies the timer; never reused.
        token: u64,
    },
    /// A member was discovered, changed its identity, or changed its state.
    MemberChanged {
        /// Its current identity.
        member: Member,
        /// Its current state.
        state: MemberState,
    },
    /// A received cell of another member was added, updated or deleted (replaced by a tombstone). The table
    /// contains its current value. Expiry and eviction of cells have no effect of their own.
    CellChanged {
        /// Id of the changed cell.
        id: CellId,
    },
    /// Open a stream to this address and run [`crate::Fleet::open_exchange`] over it.
    OpenExchange {
        /// The member to exchange cells with.
        peer: MemberId,
        /// The address that it advertises.
        to: SocketAddr,
    },
    /// A later incarnation runs under this member's name: two processes share the name, or this process should have
    /// been terminated.
    Superseded {
        /// Incarnation of the other process.
        incarnation: Incarnation,
    },
}
