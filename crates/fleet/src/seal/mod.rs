//! Sealing: only holders of the fleet's key are heard, each message once, by the one it is meant for.
//!
//! A message is `version, channel, from, from's life, counter, to, to's life, body, tag`. The tag is the first 16
//! bytes of keyed BLAKE3 over all before it. It is not encrypted: the table holds nothing secret. Whoever holds
//! the key may speak for the whole fleet; the key tells members from others, not members from each other.

mod key;
mod senders;
mod window;

pub use key::{FleetKey, KeyError, Keyring};
pub use window::{Seen, Window};

use senders::Peers;

use crate::{Life, MemberId, Refused};

/// The format that this build speaks. Another is refused by name.
pub const FORMAT: u8 = 1;
const HEADER: usize = 2 + 5 * 8;
const TAG: usize = 16;
/// Bytes that sealing adds to a body.
pub const OVERHEAD: usize = HEADER + TAG;

/// Datagrams and frames count apart: a stream that stalls must not fall out of the datagrams' window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    Datagram,
    Frame,
}

/// Who sealed a message that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    pub id: MemberId,
    pub life: Life,
    /// False: meant for whoever listens there, as the first greeting to a seed is.
    pub addressed: bool,
    pub by_second_key: bool,
}

/// This member's seal, and what it remembers of the others'.
pub struct Sealer {
    me: (MemberId, Life),
    keys: Keyring,
    counters: [u64; 2],
    peers: Peers,
}

impl Sealer {
    pub fn new(id: MemberId, life: Life, keys: Keyring, windows: usize) -> Sealer {
        Sealer { me: (id, life), keys, counters: [0; 2], peers: Peers::new(windows) }
    }

    /// From now on: the first of these signs, all verify.
    pub fn turn_keys(&mut self, keys: Keyring) {
        self.keys = keys;
    }

    /// `to` is `None` only where the receiver's name is not known yet.
    pub fn seal(&mut self, channel: Channel, to: Option<(MemberId, Life)>, body: &[u8]) -> Vec<u8> {
        let counter = &mut self.counters[channel as usize];
        *counter += 1;
        let (to, to_life) = to.unwrap_or((MemberId(0), Life(0)));
        let mut sealed = Vec::with_capacity(OVERHEAD + body.len());
        sealed.extend([FORMAT, channel as u8]);
        for field in [self.me.0 .0, self.me.1 .0, *counter, to.0, to_life.0] {
            sealed.extend(field.to_le_bytes());
        }
        sealed.extend(body);
        let tag = self.keys.signing().tag(&sealed);
        sealed.extend(tag);
        sealed
    }

    /// The sender and the body, or why not. Remembers what it accepted, nothing else.
    pub fn open<'a>(
        &mut self, channel: Channel, now: u64, sealed: &'a [u8],
    ) -> Result<(Sender, &'a [u8]), Refused> {
        let Some((signed, tag)) =
            sealed.split_last_chunk::<TAG>().filter(|(signed, _)| signed.len() >= HEADER)
        else {
            return Err(Refused::Short { bytes: sealed.len() });
        };
        let (header, body) = signed.split_at(HEADER);
        if header[0] != FORMAT {
            return Err(Refused::Version { found: header[0], ours: FORMAT });
        }
        let key = self.keys.which(signed, tag).ok_or(Refused::Forged)?;
        let field = |index: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&header[2 + index * 8..10 + index * 8]);
            u64::from_le_bytes(bytes)
        };
        let (from, life, counter) = (MemberId(field(0)), Life(field(1)), field(2));
        let to = (MemberId(field(3)), Life(field(4)));
        if header[1] != channel as u8 {
            return Err(Refused::Malformed { from });
        }
        let addressed = to != (MemberId(0), Life(0));
        if addressed && to != self.me {
            return Err(Refused::Foreign { to: to.0, life: to.1 });
        }
        if from == self.me.0 {
            return Err(Refused::Ourselves { life });
        }
        self.peers.accept(from, life, channel, counter, now)?;
        Ok((Sender { id: from, life, addressed, by_second_key: key > 0 }, body))
    }
}

#[cfg(test)]
mod tests;
