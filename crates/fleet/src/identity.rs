//! Identity of a member on the wire: its id, incarnation and address. Plain data.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Id of a member: the first eight bytes of the BLAKE3 hash of the gateway's name, little-endian.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(#[serde(with = "postcard::fixint::le")] pub u64);

impl MemberId {
    /// Returns the id of the gateway with this name.
    pub fn of_name(name: &str) -> MemberId {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        MemberId(u64::from_le_bytes(first))
    }
}

/// Incarnation of a member: one run of the gateway under its name.
///
/// It must increase with each restart; a later incarnation overrides the state of an earlier one. The start time in
/// milliseconds since 1970 satisfies this unless the clock is set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Identity of a member, as it announces it to the others. Serialized in this order of fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Derived from the gateway's name.
    pub id: MemberId,
    /// Identifies the run of the gateway.
    pub incarnation: Incarnation,
    /// Number of times that this incarnation rejoined after other members had declared it failed (because the process
    /// was stopped or the network was partitioned). Its cells stay valid, as the incarnation is the same.
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

    /// A later incarnation wins; within an incarnation, a later rejoin wins. The address only makes the order total.
    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.incarnation, self.rejoins, self.address) > (other.incarnation, other.rejoins, other.address)
    }
}

#[cfg(test)]
mod tests;
