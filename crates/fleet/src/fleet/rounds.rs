//! Periodic work of a member (gossip of new cells, hello messages to seeds, expiry and renewal of cells), and merging
//! of cells received from other members.

use rand::seq::IndexedRandom;

use super::{Effect, Fleet, LEAVE_KIND};
use crate::seal::Channel;
use crate::table::{Cell, CellId, MergeOutcome};
use crate::wire::{cell_bytes, Body, CELLS_HEADER_BYTES, MAX_BODY_BYTES};
use crate::Member;

/// Age, in anti-entropy periods, from which a received cell is not gossiped further. Such a cell was most
/// likely received by anti-entropy, which delivers it to the other members as well.
const MAX_GOSSIP_AGE_REPAIR_PERIODS: u64 = 5;

/// Content of the next gossip datagram.
enum Batch {
    /// Cells that fit into the datagram; empty if none is queued.
    Cells(Vec<Cell>),
    /// The first queued cell, which is too large for a datagram.
    TooLarge(CellId),
}

impl Fleet {
    /// Sends new cells to at most `round_members` members, one datagram each, however many cells are queued. Cells that
    /// remain queued for long are delivered by anti-entropy.
    pub(super) fn gossip_round(&mut self, now: u64, effects: &mut Vec<Effect>) {
        if self.gossip_queue.is_empty() {
            return;
        }
        let (members, active) = (self.active_count(), self.active());
        for member in self.gossip_order.next(self.settings.round_members, &active, &mut self.rng) {
            match self.next_batch(now) {
                Batch::Cells(cells) if cells.is_empty() => {}
                Batch::Cells(cells) => {
                    cells.iter().for_each(|cell| self.gossip_queue.count_transmission(&cell.id, members));
                    self.send(&member, &Body::Cells(cells), effects);
                }
                Batch::TooLarge(id) => self.send_origin_digest(&member, id, members, effects),
            }
        }
    }

    /// Returns as many of the cells with the fewest transmissions as fit into a datagram.
    fn next_batch(&self, now: u64) -> Batch {
        let (mut cells, mut used) = (Vec::new(), CELLS_HEADER_BYTES);
        for id in self.gossip_queue.in_order() {
            let Some(cell) = self.table.cell(now, id) else { continue };
            let size = cell_bytes(&cell);
            if size > MAX_BODY_BYTES - CELLS_HEADER_BYTES {
                if cells.is_empty() {
                    return Batch::TooLarge(id.clone());
                }
                continue;
            }
            if used + size > MAX_BODY_BYTES {
                break;
            }
            used += size;
            cells.push(cell);
        }
        Batch::Cells(cells)
    }

    /// Announces a cell that is too large for a datagram by sending the digest of its origin: the recipient then
    /// requests the cell.
    fn send_origin_digest(&mut self, member: &Member, id: CellId, members: usize, effects: &mut Vec<Effect>) {
        self.gossip_queue.count_transmission(&id, members);
        let digests: Vec<_> = self.table.digest(id.origin).into_iter().collect();
        self.send(member, &Body::Digests { from: id.origin, to: id.origin, digests }, effects);
    }

    /// Sends a hello message to every seed.
    pub(super) fn send_hello_to_all_seeds(&mut self, effects: &mut Vec<Effect>) {
        for seed in self.seeds.clone() {
            let hello = self.hello_datagram();
            self.push(seed, hello, effects);
        }
    }

    /// Sends a hello message to all seeds while no other member is active. Otherwise sends one to a random seed whose
    /// address no active member advertises, so that healed partitions rediscover each other.
    pub(super) fn send_hello_to_seeds(&mut self, effects: &mut Vec<Effect>) {
        if self.membership.active().next().is_none() {
            return self.send_hello_to_all_seeds(effects);
        }
        let mut unknown_seeds = self.seeds.clone();
        unknown_seeds.retain(|seed| self.membership.active().all(|member| member.address != *seed));
        if let Some(seed) = unknown_seeds.choose(&mut self.rng).copied() {
            let hello = self.hello_datagram();
            self.push(seed, hello, effects);
        }
    }

    fn hello_datagram(&mut self) -> Vec<u8> {
        let body = Body::Hello(self.membership.local_member()).to_bytes();
        self.sealer.seal(Channel::Datagram, None, &body)
    }

    /// Removes expired cells, and renews this member's values once they reach a third of the maximum age.
    pub(super) fn expire_and_renew_cells(&mut self, now: u64) {
        self.table.expire(now);
        self.gossip_queue.retain(|id| self.table.contains(id));
        for cell in
            self.table.values_older_than(now, self.membership.local_member().id, self.settings.entry_age / 3)
        {
            // Cannot exceed a bound: the cell replaces itself.
            let _ = self.write_cell(now, cell.id.kind, &cell.id.key, cell.value);
        }
    }

    /// Merges received cells, and queues new ones for gossip. Ignores cells of this member, and cells of a known member
    /// in another incarnation: a restarted member must announce its incarnation before its cells are accepted.
    pub(super) fn merge_cells(&mut self, now: u64, cells: &[Cell], effects: &mut Vec<Effect>) {
        let members = self.active_count();
        for cell in cells {
            if !self.may_merge(cell) {
                continue;
            }
            match self.table.merge(now, cell) {
                MergeOutcome::Applied => self.cell_applied(now, cell, effects),
                MergeOutcome::Duplicate => self.gossip_queue.count_transmission(&cell.id, members),
                MergeOutcome::OverBounds => self.counters.entries_over_bounds += 1,
                MergeOutcome::Stale | MergeOutcome::Expired => {}
            }
        }
    }

    fn may_merge(&self, cell: &Cell) -> bool {
        let origin = cell.id.origin;
        if origin == self.membership.local_member().id {
            return false;
        }
        match self.membership.get(origin) {
            Some((member, _)) => member.incarnation == cell.incarnation,
            None => true,
        }
    }

    fn cell_applied(&mut self, now: u64, cell: &Cell, effects: &mut Vec<Effect>) {
        let id = &cell.id;
        self.counters.entries_merged += 1;
        if cell.age() < MAX_GOSSIP_AGE_REPAIR_PERIODS * self.settings.repair {
            self.gossip_queue.add(id.clone());
        }
        effects.push(Effect::CellChanged { id: id.clone() });
        if id.kind == LEAVE_KIND {
            self.membership_step(now, effects, |membership, output| {
                membership.mark_left(id.origin, cell.incarnation, output)
            });
        }
    }
}
