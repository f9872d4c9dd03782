//! What is done from time to time: fresh cells told, seeds greeted, what is old dropped and told anew.

use rand::seq::IndexedRandom;

use super::{Effect, Fleet, LEAVING};
use crate::seal::Channel;
use crate::table::{Cell, Merged, Place};
use crate::wire::{cell_bytes, Body, BODY_MOST, HEAD};
use crate::{Member, MemberId};

/// Cells younger than this many times between digests are told on; what comes older than that came by repair, and
/// the others repair themselves.
const FRESH_REPAIRS: u64 = 5;

enum Filled {
    Cells(Vec<Cell>),
    TooLarge(Place),
}

impl Fleet {
    /// Tells fresh cells to some members, one datagram each: at most `round_members` datagrams a round, however much
    /// is fresh. What waits longer is found by digests.
    pub(super) fn round(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.fresh.is_empty() {
            return;
        }
        let (members, active) = (self.size(), self.active());
        for member in self.telling.next(self.settings.round_members, &active, &mut self.random) {
            match self.fill(now) {
                Filled::Cells(cells) if cells.is_empty() => {}
                Filled::Cells(cells) => {
                    cells.iter().for_each(|cell| self.fresh.told(&cell.place, members));
                    self.send(&member, &Body::Cells(cells), out);
                }
                Filled::TooLarge(place) => self.hint(&member, place, members, out),
            }
        }
    }

    /// As many of the least told as fit into a datagram.
    fn fill(&self, now: u64) -> Filled {
        let (mut cells, mut used) = (Vec::new(), HEAD);
        for place in self.fresh.in_order() {
            let Some(cell) = self.table.cell(now, place) else { continue };
            let size = cell_bytes(&cell);
            if size > BODY_MOST - HEAD {
                if cells.is_empty() {
                    return Filled::TooLarge(place.clone());
                }
                continue;
            }
            if used + size > BODY_MOST {
                break;
            }
            used += size;
            cells.push(cell);
        }
        Filled::Cells(cells)
    }

    /// For a cell too large for any datagram: the digest says that there is something to ask for.
    fn hint(&mut self, member: &Member, place: Place, members: usize, out: &mut Vec<Effect>) {
        self.fresh.told(&place, members);
        let digests: Vec<_> = self.table.digest(place.origin).into_iter().collect();
        self.send(member, &Body::Digests { from: place.origin, to: place.origin, digests }, out);
    }

    /// Greets all seeds.
    pub(super) fn greet_all(&mut self, out: &mut Vec<Effect>) {
        for seed in self.seeds.clone() {
            let hello = self.hello();
            self.push(seed, hello, out);
        }
    }

    /// Greets all seeds while alone, else one where no active member is known: a fleet that fell apart meets again
    /// there.
    pub(super) fn greet(&mut self, out: &mut Vec<Effect>) {
        if self.membership.active().next().is_none() {
            return self.greet_all(out);
        }
        let mut unmet = self.seeds.clone();
        unmet.retain(|seed| self.membership.active().all(|member| member.address != *seed));
        if let Some(seed) = unmet.choose(&mut self.random).copied() {
            let hello = self.hello();
            self.push(seed, hello, out);
        }
    }

    fn hello(&mut self) -> Vec<u8> {
        let body = Body::Hello(self.membership.me()).bytes();
        self.sealer.seal(Channel::Datagram, None, &body)
    }

    /// Drops what is too old; tells own values anew at a third of their age.
    pub(super) fn age(&mut self, now: u64) {
        self.table.age(now);
        self.fresh.retain(|place| self.table.holds(place));
        for cell in self.table.lived(now, self.membership.me().id, self.settings.entry_age / 3) {
            // There is room: the cell takes its own place.
            let _ = self.tell(now, cell.place.kind, &cell.place.key, cell.value);
        }
    }

    /// Merges cells that others sent, and tells on what is new. Nobody speaks for this member's own cells, nor gives
    /// a member another life than it is known to live: a restart is heard from the member first, its cells after.
    pub(super) fn take_cells(&mut self, now: u64, cells: &[Cell], out: &mut Vec<Effect>) {
        let (me, members) = (self.membership.me(), self.size());
        for cell in cells {
            let place = &cell.place;
            let known = self.membership.get(place.origin).map(|(member, _)| member.life);
            if place.origin == me.id || known.is_some_and(|life| cell.life != life) {
                continue;
            }
            match self.table.merge(now, cell) {
                Merged::Newer => {
                    self.counters.entries_taken += 1;
                    if cell.age() < FRESH_REPAIRS * self.settings.repair {
                        self.fresh.add(place.clone());
                    }
                    out.push(Effect::Told { place: place.clone() });
                    if place.kind == LEAVING {
                        self.has_left(now, place.origin, cell, out);
                    }
                }
                Merged::Same => self.fresh.told(place, members),
                Merged::OverBounds => self.counters.entries_over_bounds += 1,
                Merged::Older | Merged::Aged => {}
            }
        }
    }

    fn has_left(&mut self, now: u64, id: MemberId, cell: &Cell, out: &mut Vec<Effect>) {
        self.membership_step(now, out, |membership, asked| membership.leaves(id, cell.life, asked));
    }
}
