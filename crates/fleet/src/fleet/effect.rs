//! What the driver is to do, and what it is told.

use std::net::SocketAddr;

use crate::{CellId, Incarnation, Member, MemberId, MemberState};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// One datagram, at most [`crate::DATAGRAM_MOST`] bytes.
    Send { to: SocketAddr, bytes: Vec<u8> },
    /// Call [`crate::Fleet::timer`] with the token, `after` milliseconds from now or later.
    Timer { after: u64, token: u64 },
    /// A member is another one, or stands otherwise.
    MemberChanged { member: Member, state: MemberState },
    /// A cell of another member is new, has a new value or was taken back: look it up.
    CellChanged { id: CellId },
    /// Open a stream to this address and run [`crate::Fleet::open_exchange`] over it.
    OpenExchange { with: MemberId, to: SocketAddr },
    /// A later life speaks under this member's own name: two run under one name, or this one should have ended.
    Superseded { incarnation: Incarnation },
}
