//! Authentication of messages: a member accepts a message only if it was sealed with the fleet's key, is
//! addressed to this member or names no recipient, and was not accepted here before. Replays are detected for
//! as long as the sender's replay window is retained; see [`Sealer::new`].
//!
//! A sealed message consists of `version, channel, sender, its incarnation, counter, recipient, its incarnation, body,
//! tag`; numbers are little-endian. The tag is the first 16 bytes of the keyed BLAKE3 hash of everything before it.
//! Nothing is encrypted, as the table contains no secrets. The key separates members from outsiders, not members from
//! each other: any holder of the key can send messages in the name of any member.
//!
//! A [`Sealer`] owns this member's counters and the replay windows of the other members; the caller passes in the time.

mod key;
mod senders;
mod window;

pub use key::{FleetKey, KeyError, Keyring};
pub use window::{CounterStatus, Window};

use senders::SenderWindows;

use crate::{Incarnation, MemberId, Rejection};

/// Format version that this build supports. Messages of any other version are rejected.
pub const FORMAT_VERSION: u8 = 1;
/// Length of the header: version, channel, and five numbers of eight bytes.
const HEADER_BYTES: usize = 2 + 5 * 8;
/// Length of the tag at the end of a message.
const TAG_BYTES: usize = 16;
/// Bytes that sealing adds to a body.
pub const SEAL_OVERHEAD_BYTES: usize = HEADER_BYTES + TAG_BYTES;

/// Transport of a message. Each channel has its own counters, as datagrams would otherwise advance the replay window
/// past the frames of a stalled stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// The message is one datagram.
    Datagram,
    /// The message is a frame of an exchange over a stream.
    Frame,
}

/// Sender of an accepted message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Id in the seal.
    pub id: MemberId,
    /// Incarnation in the seal.
    pub incarnation: Incarnation,
    /// Whether the message names a recipient. A hello message to a seed's address does not.
    pub addressed: bool,
    /// Whether the second key of the [`Keyring`] verified the message.
    pub by_second_key: bool,
}

/// Seals this member's messages, and opens (verifies) those of other members.
pub struct Sealer {
    local: (MemberId, Incarnation),
    keys: Keyring,
    counters: [u64; 2],
    senders: SenderWindows,
}

impl Sealer {
    /// Creates a sealer for the member `id` in this incarnation. It retains the replay windows of at most `windows`
    /// senders.
    pub fn new(id: MemberId, incarnation: Incarnation, keys: Keyring, windows: usize) -> Sealer {
        Sealer { local: (id, incarnation), keys, counters: [0; 2], senders: SenderWindows::new(windows) }
    }

    /// Replaces the keys. The first new key signs from now on, and all new keys verify.
    pub fn rotate_keys(&mut self, keys: Keyring) {
        self.keys = keys;
    }

    /// Seals `body` for the recipient `to`, which is `None` only if the recipient's identity is not known yet.
    pub fn seal(&mut self, channel: Channel, to: Option<(MemberId, Incarnation)>, body: &[u8]) -> Vec<u8> {
        let counter = &mut self.counters[channel as usize];
        *counter += 1;
        let (to, to_incarnation) = to.unwrap_or((MemberId(0), Incarnation(0)));
        let mut sealed = Vec::with_capacity(SEAL_OVERHEAD_BYTES + body.len());
        sealed.extend([FORMAT_VERSION, channel as u8]);
        for field in [self.local.0 .0, self.local.1 .0, *counter, to.0, to_incarnation.0] {
            sealed.extend(field.to_le_bytes());
        }
        sealed.extend(body);
        let tag = self.keys.signing_key().tag(&sealed);
        sealed.extend(tag);
        sealed
    }

    /// Verifies a message, and returns its sender and body. Forged and misaddressed messages do not change the replay
    /// windows. `now` is in milliseconds.
    pub fn open<'a>(
        &mut self, channel: Channel, now: u64, sealed: &'a [u8],
    ) -> Result<(Sender, &'a [u8]), Rejection> {
        let Some((signed, tag)) =
            sealed.split_last_chunk::<TAG_BYTES>().filter(|(signed, _)| signed.len() >= HEADER_BYTES)
        else {
            return Err(Rejection::TooShort { bytes: sealed.len() });
        };
        let (header, body) = signed.split_at(HEADER_BYTES);
        if header[0] != FORMAT_VERSION {
            return Err(Rejection::UnknownVersion { version: header[0], supported: FORMAT_VERSION });
        }
        let key = self.keys.matching_key(signed, tag).ok_or(Rejection::Forged)?;
        let field = |index: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&header[2 + index * 8..10 + index * 8]);
            u64::from_le_bytes(bytes)
        };
        let (from, incarnation, counter) = (MemberId(field(0)), Incarnation(field(1)), field(2));
        let to = (MemberId(field(3)), Incarnation(field(4)));
        if header[1] != channel as u8 {
            return Err(Rejection::Malformed { from });
        }
        let addressed = to != (MemberId(0), Incarnation(0));
        if addressed && to != self.local {
            return Err(Rejection::WrongRecipient { to: to.0, incarnation: to.1 });
        }
        if from == self.local.0 {
            return Err(Rejection::OwnName { incarnation });
        }
        self.senders.accept(from, incarnation, channel, counter, now)?;
        Ok((Sender { id: from, incarnation, addressed, by_second_key: key > 0 }, body))
    }
}

#[cfg(test)]
mod tests;
