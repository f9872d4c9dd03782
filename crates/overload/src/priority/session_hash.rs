//! Where a session stands among those of its band.

/// From owner and session under the fleet's key: the same at all gateways, and nothing that a client can choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SessionHash(u64);

impl SessionHash {
    /// `key`: any 32 bytes that all gateways share and clients do not know.
    pub fn new(key: &[u8; 32], owner: &[u8], session: &[u8]) -> SessionHash {
        let mut hasher = blake3::Hasher::new_keyed(key);
        // The length keeps "ab" of "c" apart from "a" of "bc".
        hasher.update(&(owner.len() as u64).to_le_bytes()).update(owner).update(session);
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        SessionHash(u64::from_le_bytes(bytes))
    }

    /// In its band, of 65,536; higher goes first.
    pub fn rank(self) -> u16 {
        (self.0 >> 48) as u16
    }

    /// Of a later turn without memory: in the upper eighth, and never before where the first turn stood.
    pub fn later_turn_rank(self) -> u16 {
        u16::MAX - (u16::MAX - self.rank()) / 8
    }

    /// In the window of returns; bits that the rank does not use, or the refused would all return at once.
    pub fn retry_jitter(self) -> u32 {
        self.0 as u32
    }

    /// What a gateway remembers a session by.
    pub fn id(self) -> u64 {
        self.0
    }
}
