//! Effects: what the driver has to do, and what it is notified of.

use std::net::SocketAddr;

use crate::{CellId, Incarnation, Member, MemberId, MemberState};

/// One instruction or notification to the driver, in the order in which it is to be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send one datagram of at most [`crate::MAX_DATAGRAM_BYTES`] bytes.
    Send {
        /// Its recipient.
        to: SocketAddr,
        /// The sealed message.
        bytes: Vec<u8>,
    },
    /// Call [`crate::Fleet::handle_timer`] with the token, `delay_ms` milliseconds from now or later.
    Timer {
        /// Milliseconds.
        delay_ms: u64,
        /// What to call it with.
        token: u64,
    },
    /// A member is new, changed its identity, or changed its state.
    MemberChanged {
        /// As it is known now.
        member: Member,
        /// Its state now.
        state: MemberState,
    },
    /// A cell of another member is new, has a new value or was deleted: the table has the current value.
    CellChanged {
        /// The cell.
        id: CellId,
    },
    /// Open a stream to this address and run [`crate::Fleet::open_exchange`] over it.
    OpenExchange {
        /// The member to exchange with.
        peer: MemberId,
        /// Its address.
        to: SocketAddr,
    },
    /// A later incarnation runs under this member's own name: two processes share a name, or this one should have ended.
    Superseded {
        /// The later incarnation.
        incarnation: Incarnation,
    },
}
