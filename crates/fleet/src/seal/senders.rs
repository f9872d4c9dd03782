//! The newest life and the counters of each member that was ever heard, as many as the bound allows. Not dropped
//! by age: a datagram recorded long ago must not be heard again because its sender has been quiet.

use std::collections::BTreeMap;

use super::{Channel, Seen, Window};
use crate::{Life, MemberId, Refused};

struct Peer {
    life: Life,
    windows: [Window; 2],
    heard: u64,
}

pub(super) struct Peers {
    most: usize,
    by_id: BTreeMap<MemberId, Peer>,
}

impl Peers {
    pub(super) fn new(most: usize) -> Peers {
        Peers { most, by_id: BTreeMap::new() }
    }

    pub(super) fn accept(
        &mut self, from: MemberId, life: Life, channel: Channel, counter: u64, now: u64,
    ) -> Result<(), Refused> {
        if self.by_id.len() >= self.most && !self.by_id.contains_key(&from) {
            // The one heard longest ago makes room.
            if let Some(oldest) = self.by_id.iter().min_by_key(|(_, peer)| peer.heard).map(|(id, _)| *id) {
                self.by_id.remove(&oldest);
            }
        }
        let fresh = |life| Peer { life, windows: Default::default(), heard: now };
        let peer = self.by_id.entry(from).or_insert_with(|| fresh(life));
        if life < peer.life {
            return Err(Refused::OldLife { from, life });
        }
        if life > peer.life {
            *peer = fresh(life);
        }
        peer.heard = now;
        match peer.windows[channel as usize].accept(counter) {
            Seen::New => Ok(()),
            Seen::Before => Err(Refused::Replayed { from, counter }),
            Seen::TooFarBehind => Err(Refused::Stale { from, counter }),
        }
    }
}
