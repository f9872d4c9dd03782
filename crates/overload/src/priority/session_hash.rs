//! Hash by which the sessions of a band are ordered.

/// Hash of owner and session under the fleet's key: the same at all gateways, and beyond the control of
/// clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SessionHash(u64);

impl SessionHash {
    /// Hashes owner and session under `key`, a secret of 32 bytes that all gateways share and clients do not
    /// have.
    pub fn new(key: &[u8; 32], owner: &[u8], session: &[u8]) -> SessionHash {
        let mut hasher = blake3::Hasher::new_keyed(key);
        // The length prefix distinguishes owner "ab" with session "c" from owner "a" with session "bc".
        hasher.update(&(owner.len() as u64).to_le_bytes()).update(owner).update(session);
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        SessionHash(u64::from_le_bytes(bytes))
    }

    /// Returns the rank in its band, from 0 to 65,535; higher ranks are admitted first.
    pub fn rank(self) -> u16 {
        (self.0 >> 48) as u16
    }

    /// Returns the rank of a later turn at a gateway that does not remember the session: in the upper eighth,
    /// and never below the rank of the first turn.
    pub fn later_turn_rank(self) -> u16 {
        u16::MAX - (u16::MAX - self.rank()) / 8
    }

    /// Returns the position in the window of retry delays, from 0 to `u32::MAX`. It uses bits that the rank
    /// does not use, since rejected sessions have similar ranks and would otherwise all retry at the same
    /// time.
    pub fn retry_jitter(self) -> u32 {
        self.0 as u32
    }

    /// Returns the identifier by which a gateway remembers the session.
    pub fn id(self) -> u64 {
        self.0
    }
}
