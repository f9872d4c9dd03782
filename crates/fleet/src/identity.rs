//! Identity of a member on the wire: its id, its incarnation and its address. Plain data without state or clock.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Id of a member: the first eight bytes of the BLAKE3 hash of the gateway's name, little-endian.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(#[serde(with = "postcard::fixint::le")] pub u64);

impl MemberId {
    /// The id of the gateway with this name.
    pub fn of_name(name: &str) -> MemberId {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        MemberId(u64::from_le_bytes(first))
    }
}

/// Incarnation of a member: one run of the gateway under its name. Must grow with each restart; statements of a later
/// incarnation override those of an earlier one. Milliseconds since 1970 at the start do, unless the clock goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A member as the others know it. Serialized in this order of fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Derived from the gateway's name.
    pub id: MemberId,
    /// The run of the gateway.
    pub incarnation: Incarnation,
    /// How often this incarnation rejoined after the others had declared it failed (the process was stopped, or the
    /// network partitioned). Its cells stay valid, as it is the same incarnation.
    pub rejoins: u32,
    /// Address for datagrams and, on the same port, streams.
    pub address: SocketAddr,
}

impl foca::Identity for Member {
    type Addr = MemberId;

    fn renew(&self) -> Option<Member> {
        Some(Member { rejoins: self.rejoins.checked_add(1)?, ..*self })
    }

    fn addr(&self) -> MemberId {
        self.id
    }

    /// A later incarnation wins, then a later rejoin; the address only makes the order total.
    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.incarnation, self.rejoins, self.address) > (other.incarnation, other.rejoins, other.address)
    }
}

#[cfg(test)]
mod tests;
