//! Sealing: only holders of the fleet's key are heard, each message once, by the one it is meant for.
//!
//! A message is `version, channel, from, from's life, counter, to, to's life, body, tag`. The tag is the first 16
//! bytes of keyed BLAKE3 over all before it. It is not encrypted: the table holds nothing secret. Whoever holds
//! the key may speak for the whole fleet; the key tells members from others, not members from each other.

mod key;
mod peers;
mod window;

pub use key::{FleetKey, KeyError, Keyring};
pub use window::{Seen, Window};

use peers::Peers;

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
mod tests {
    use super::*;

    fn keys(first: u8, second: Option<u8>) -> Keyring {
        let key = |byte: u8| FleetKey::derive(&[byte; 32], "test").unwrap();
        Keyring::new(key(first), second.map(key))
    }

    fn sealer(name: &str, life: u64, keys: Keyring) -> Sealer {
        Sealer::new(MemberId::of_name(name), Life(life), keys, 8)
    }

    #[test]
    fn forged_replayed_foreign_old_and_unknown_are_told_apart() {
        let (a_id, b_id) = (MemberId::of_name("a"), MemberId::of_name("b"));
        let (mut a, mut b) = (sealer("a", 5, keys(1, None)), sealer("b", 7, keys(1, None)));
        let to_b = Some((b_id, Life(7)));
        let good = a.seal(Channel::Datagram, to_b, b"hello");
        for place in 0..good.len() {
            let mut bent = good.clone();
            bent[place] ^= 1;
            let expected = if place == 0 { Refused::Version { found: 0, ours: 1 } } else { Refused::Forged };
            assert_eq!(b.open(Channel::Datagram, 0, &bent), Err(expected));
        }
        assert!(matches!(b.open(Channel::Frame, 0, &good), Err(Refused::Malformed { .. })));
        let (sender, body) = b.open(Channel::Datagram, 0, &good).unwrap();
        assert_eq!((sender.id, sender.life, body), (a_id, Life(5), &b"hello"[..]));
        assert_eq!(b.open(Channel::Datagram, 0, &good), Err(Refused::Replayed { from: a_id, counter: 1 }));
        // The same datagram at another member, and at a later life of the one that it was meant for.
        let foreign = Err(Refused::Foreign { to: b_id, life: Life(7) });
        assert_eq!(sealer("c", 1, keys(1, None)).open(Channel::Datagram, 0, &good), foreign);
        assert_eq!(sealer("b", 8, keys(1, None)).open(Channel::Datagram, 0, &good), foreign);
        let mut later = sealer("a", 6, keys(1, None));
        let newer = later.seal(Channel::Datagram, to_b, b"new");
        assert!(b.open(Channel::Datagram, 0, &newer).is_ok());
        let older = a.seal(Channel::Datagram, to_b, b"old");
        assert_eq!(b.open(Channel::Datagram, 0, &older), Err(Refused::OldLife { from: a_id, life: Life(5) }));
        assert!(matches!(b.open(Channel::Datagram, 0, &older[..20]), Err(Refused::Short { .. })));
    }

    #[test]
    fn keys_are_turned_over_on_a_running_fleet() {
        let to_b = Some((MemberId::of_name("b"), Life(1)));
        let (mut a, mut b) = (sealer("a", 1, keys(1, None)), sealer("b", 1, keys(1, None)));
        let heard = |a: &mut Sealer, b: &mut Sealer| {
            let sealed = a.seal(Channel::Datagram, to_b, b"x");
            b.open(Channel::Datagram, 0, &sealed).map(|(sender, _)| sender.by_second_key)
        };
        // Old signs and new verifies at both; new signs at one, then at both; the old one goes.
        b.turn_keys(keys(1, Some(2)));
        assert_eq!(heard(&mut a, &mut b), Ok(false));
        a.turn_keys(keys(2, Some(1)));
        assert_eq!(heard(&mut a, &mut b), Ok(true));
        b.turn_keys(keys(2, None));
        assert_eq!(heard(&mut a, &mut b), Ok(false));
        a.turn_keys(keys(1, None));
        assert_eq!(heard(&mut a, &mut b), Err(Refused::Forged));
    }
}
