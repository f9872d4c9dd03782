//! Names, lives and addresses: who a member is on the wire.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A gateway under its name: the first eight bytes of the name's BLAKE3 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(#[serde(with = "postcard::fixint::le")] pub u64);

impl MemberId {
    pub fn of_name(name: &str) -> MemberId {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        MemberId(u64::from_le_bytes(first))
    }
}

/// One run of a gateway. Grows with each restart under the same name; whatever a later life says goes before
/// whatever an earlier one said. Milliseconds since 1970 at the start serve, if the clock does not go back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life(pub u64);

/// A member as the others know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: MemberId,
    pub life: Life,
    /// How often this life came back after the others had given it up (it was stopped, or cut off). Not a new
    /// life: what it told and holds stays good.
    pub returns: u32,
    /// Where it is reached: datagrams and, on the same port, streams.
    pub address: SocketAddr,
}

impl foca::Identity for Member {
    type Addr = MemberId;

    fn renew(&self) -> Option<Member> {
        Some(Member { returns: self.returns.checked_add(1)?, ..*self })
    }

    fn addr(&self) -> MemberId {
        self.id
    }

    /// A later life goes first, then a later return; the address only makes the order whole.
    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.life, self.returns, self.address) > (other.life, other.returns, other.address)
    }
}

#[cfg(test)]
mod tests;
