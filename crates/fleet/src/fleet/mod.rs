//! The state machine of one member. Its inputs are datagrams, timers and the bytes of streams; its outputs are effects.
//!
//! - `rounds`: gossip, hello messages, expiry, and merging of received cells.
//! - `repair`: anti-entropy by digests in datagrams.
//! - `exchange`: anti-entropy over a stream.
//!
//! [`Fleet`] owns all state of the member. The driver owns the clock and the sockets.

mod cycle;
mod effect;
mod exchange;
mod repair;
mod rounds;

pub use effect::Effect;
pub use exchange::{Exchange, ExchangeError, ExchangeStep};

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::SeedableRng;

use cycle::Cycle;

use crate::gossip::GossipQueue;
use crate::membership::{MemberState, Membership, MembershipError, MembershipOutput};
use crate::rejection::{Counters, Rejection};
use crate::seal::{Channel, Keyring, Sealer, Sender};
use crate::settings::{Settings, SettingsError};
use crate::table::{Bounds, Cell, CellId, MergeOutcome, Table, TableError};
use crate::timers::{TimerAction, Timers};
use crate::wire::{Body, MAX_DATAGRAM_BYTES};
use crate::{Incarnation, Member, MemberId};

/// Kind of the cell with which an incarnation announces that it leaves. Callers of [`Fleet::put`] use all other kinds.
const LEAVE_KIND: u16 = 0;

/// The state of one member.
///
/// Times are milliseconds on the driver's clock, which must be monotonic and must advance while the process is
/// stopped. The effects depend only on the inputs and the random seed.
pub struct Fleet {
    settings: Settings,
    seeds: Vec<SocketAddr>,
    membership: Membership,
    sealer: Sealer,
    table: Table,
    gossip_queue: GossipQueue,
    timers: Timers,
    rng: StdRng,
    /// Order of the recipients of gossip.
    gossip_order: Cycle,
    /// Order of the recipients of digests.
    digest_order: Cycle,
    counters: Counters,
    /// Earliest time at which the driver may be requested to open the next exchange, in milliseconds.
    next_exchange_at: u64,
    has_left: bool,
}

impl Fleet {
    /// Creates a member that is not started yet.
    ///
    /// `incarnation` must be greater than that of any earlier run under this name. `seeds` are the addresses through
    /// which members discover each other; `address` is removed from them. `random_seed` determines the random choices.
    pub fn new(
        name: &str, incarnation: Incarnation, address: SocketAddr, seeds: Vec<SocketAddr>, keys: Keyring,
        settings: Settings, random_seed: u64,
    ) -> Result<Fleet, SettingsError> {
        settings.check()?;
        if address.ip().is_unspecified() || address.port() == 0 {
            return Err(SettingsError::Address { address });
        }
        let local = Member { id: MemberId::of_name(name), incarnation, rejoins: 0, address };
        Ok(Fleet {
            membership: Membership::new(local, &settings, random_seed),
            sealer: Sealer::new(local.id, incarnation, keys, settings.windows),
            table: Table::new(local.id, Bounds::from_settings(&settings)),
            gossip_queue: GossipQueue::default(),
            timers: Timers::default(),
            rng: StdRng::seed_from_u64(!random_seed),
            gossip_order: Cycle::default(),
            digest_order: Cycle::default(),
            counters: Counters::default(),
            next_exchange_at: 0,
            has_left: false,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            settings,
        })
    }

    /// Sends a hello message to each seed and requests the first timers. Must be called once.
    pub fn start(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.send_hello_to_all_seeds(effects);
        self.schedule(now, self.settings.hello, TimerAction::Hello, effects);
        self.schedule(now, self.settings.round, TimerAction::Gossip, effects);
        self.schedule(now, self.settings.repair, TimerAction::AntiEntropy, effects);
        self.schedule(now, self.settings.repair, TimerAction::Expiry, effects);
    }

    /// Handles one datagram. Its source address is not used: the seal identifies the sender, and responses are sent
    /// to the address that the member advertises.
    pub fn handle_datagram(
        &mut self, now: u64, _from: SocketAddr, bytes: &[u8], effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        self.counters.datagrams_in += 1;
        self.counters.bytes_in += bytes.len() as u64;
        let result = self.process_datagram(now, bytes, effects);
        if let Err(rejection) = result {
            self.reject(rejection, effects);
        }
        result
    }

    fn process_datagram(
        &mut self, now: u64, bytes: &[u8], effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Rejection::TooLong { bytes: bytes.len(), max_bytes: MAX_DATAGRAM_BYTES });
        }
        if self.has_left {
            return Err(Rejection::Left);
        }
        let (sender, body) = self.sealer.open(Channel::Datagram, now, bytes)?;
        self.counters.by_second_key += u64::from(sender.by_second_key);
        let malformed = Rejection::Malformed { from: sender.id };
        let body = Body::parse(body).ok_or(malformed)?;
        match body {
            Body::Hello(member) => {
                self.check_sender(&sender, &member)?;
                self.membership_step(now, effects, |membership, output| membership.announce(member, output));
            }
            _ if !sender.addressed => return Err(malformed),
            Body::Swim(packet) => {
                let source = Membership::packet_source(&packet).ok_or(malformed)?;
                self.check_sender(&sender, &source)?;
                self.membership_step(now, effects, |membership, output| {
                    membership.handle_packet(&packet, output)
                });
            }
            Body::Cells(cells) => self.merge_cells(now, &cells, effects),
            Body::Digests { from, to, digests } => {
                self.handle_digests(now, sender, from..=to, &digests, effects);
            }
            Body::Request(digests) => self.handle_cell_request(now, sender, &digests, effects),
            Body::ExchangeNeeded => self.request_exchange(now, sender, effects),
            Body::ExchangeOpen(_) | Body::ExchangeDone(_) => return Err(malformed),
        }
        Ok(())
    }

    /// Rejects a body that states another member or incarnation than the seal: a member may announce only its own
    /// address.
    fn check_sender(&self, sender: &Sender, member: &Member) -> Result<(), Rejection> {
        if (member.id, member.incarnation) == (sender.id, sender.incarnation) {
            Ok(())
        } else {
            Err(Rejection::Impersonated { from: sender.id })
        }
    }

    fn reject(&mut self, rejection: Rejection, effects: &mut Vec<Effect>) {
        self.counters.rejected[rejection.reason_index()] += 1;
        if let Rejection::OwnName { incarnation } = rejection {
            if incarnation > self.membership.local_member().incarnation {
                effects.push(Effect::Superseded { incarnation });
            }
        }
    }

    /// Handles a timer that fired. Unknown tokens, and tokens that fired before, are ignored.
    pub fn handle_timer(&mut self, now: u64, token: u64, effects: &mut Vec<Effect>) {
        let Some((action, late_by_ms)) = self.timers.take(token, now) else { return };
        if self.has_left {
            return;
        }
        self.counters.late_timers += u64::from(late_by_ms > self.settings.probe);
        match action {
            TimerAction::Swim(timer) => {
                self.membership_step(now, effects, |membership, output| {
                    membership.handle_timer(timer, late_by_ms, output)
                });
            }
            TimerAction::Gossip => {
                self.gossip_round(now, effects);
                self.schedule(now, self.settings.round, TimerAction::Gossip, effects);
            }
            TimerAction::AntiEntropy => {
                self.send_digests(effects);
                self.schedule(now, self.settings.repair, TimerAction::AntiEntropy, effects);
            }
            TimerAction::Hello => {
                self.send_hello_to_seeds(effects);
                self.schedule(now, self.settings.hello, TimerAction::Hello, effects);
            }
            TimerAction::Expiry => {
                self.expire_and_renew_cells(now);
                self.schedule(now, self.settings.repair, TimerAction::Expiry, effects);
            }
        }
    }

    /// Sets the value of this member's cell (`kind`, `key`), and returns the cell's new version. The member
    /// renews the cell until it is deleted, so a value with a limited lifetime must contain its own expiry
    /// time.
    pub fn put(&mut self, now: u64, kind: u16, key: &[u8], value: Vec<u8>) -> Result<u64, TableError> {
        check_kind(kind)?;
        self.write_cell(now, kind, key, Some(value))
    }

    /// Deletes a cell of this member by writing a tombstone, and returns the tombstone's version.
    pub fn delete(&mut self, now: u64, kind: u16, key: &[u8]) -> Result<u64, TableError> {
        check_kind(kind)?;
        self.write_cell(now, kind, key, None)
    }

    fn write_cell(
        &mut self, now: u64, kind: u16, key: &[u8], value: Option<Vec<u8>>,
    ) -> Result<u64, TableError> {
        let local = self.membership.local_member();
        let id = CellId { origin: local.id, kind, key: key.to_vec() };
        let version = self.table.next_version(local.id);
        let cell = Cell::new(id, local.incarnation, version, 0, value);
        self.table.check_room(&cell)?;
        if self.table.merge(now, &cell) == MergeOutcome::Applied {
            self.gossip_queue.add(cell.id);
        }
        Ok(version)
    }

    /// Announces to all active members that this one leaves. Later datagrams and frames are rejected, and
    /// later timers are ignored.
    pub fn leave(&mut self, now: u64, effects: &mut Vec<Effect>) {
        // Not written to the table: a full table must not prevent a member from leaving.
        let local = self.membership.local_member();
        let id = CellId { origin: local.id, kind: LEAVE_KIND, key: Vec::new() };
        let announcement =
            Cell::new(id, local.incarnation, self.table.next_version(local.id), 0, Some(Vec::new()));
        let body = Body::Cells(vec![announcement]);
        for member in &self.active() {
            self.send(member, &body, effects);
        }
        self.membership_step(now, effects, Membership::leave);
        self.has_left = true;
    }

    /// Replaces the keys. [`Keyring`] describes the three steps of a key rotation.
    pub fn rotate_keys(&mut self, keys: Keyring) {
        self.sealer.rotate_keys(keys);
    }

    /// The current identity of this member.
    pub fn local_member(&self) -> Member {
        self.membership.local_member()
    }

    /// The other members with their states, in the order of their ids. Members that failed or left are listed until
    /// the `forget` setting removes them.
    pub fn members(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        self.membership.members()
    }

    /// The cells of all members, this one included.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Counters since this member was created.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Requests a timer that fires in `delay_ms` milliseconds.
    fn schedule(&mut self, now: u64, delay_ms: u64, action: TimerAction, effects: &mut Vec<Effect>) {
        let token = self.timers.add(now.saturating_add(delay_ms), action);
        effects.push(Effect::Timer { delay_ms, token });
    }

    fn active(&self) -> Vec<Member> {
        self.membership.active().copied().collect()
    }

    /// Number of active members, this one included.
    fn active_count(&self) -> usize {
        self.membership.active().count() + 1
    }

    fn send(&mut self, to: &Member, body: &Body, effects: &mut Vec<Effect>) {
        let bytes = self.sealer.seal(Channel::Datagram, Some((to.id, to.incarnation)), &body.to_bytes());
        self.push(to.address, bytes, effects);
    }

    fn push(&mut self, to: SocketAddr, bytes: Vec<u8>, effects: &mut Vec<Effect>) {
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        self.counters.datagrams_out += 1;
        self.counters.bytes_out += bytes.len() as u64;
        effects.push(Effect::Send { to, bytes });
    }

    /// Runs one step of the membership library, and converts its output to effects.
    fn membership_step(
        &mut self, now: u64, effects: &mut Vec<Effect>,
        step: impl FnOnce(&mut Membership, &mut MembershipOutput) -> Result<(), MembershipError>,
    ) {
        let mut output = MembershipOutput::default();
        if step(&mut self.membership, &mut output).is_err() {
            self.counters.membership_errors += 1;
        }
        for (to, packet) in output.sends {
            self.send(&to, &Body::Swim(packet), effects);
        }
        for (delay_ms, timer) in output.timers {
            self.schedule(now, delay_ms, TimerAction::Swim(timer), effects);
        }
        let table = &self.table;
        let has_left = |id, incarnation| {
            table.incarnation(id) == Some(incarnation) && table.get(id, LEAVE_KIND, &[]).is_some()
        };
        for (member, state) in self.membership.take_changes(has_left) {
            self.table.advance_incarnation(member.id, member.incarnation);
            effects.push(Effect::MemberChanged { member, state });
        }
    }
}

/// Rejects the kind that is reserved for leave announcements.
fn check_kind(kind: u16) -> Result<(), TableError> {
    if kind == LEAVE_KIND {
        return Err(TableError::Reserved { kind });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
