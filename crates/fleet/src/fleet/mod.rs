//! The one machine that a driver runs: datagrams and timers in, effects out.

mod cycle;
mod effect;
mod exchange;
mod repair;
mod rounds;

pub use effect::Effect;
pub use exchange::{Exchange, ExchangeError, Step};

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::SeedableRng;

use cycle::Cycle;

use crate::gossip::Fresh;
use crate::membership::{Asked, MemberState, Membership, Unable};
use crate::rejection::{Counters, Refused};
use crate::seal::{Channel, Keyring, Sealer, Sender};
use crate::settings::{Settings, SettingsError};
use crate::table::{Bounds, Cell, Merged, Place, Table, TableError};
use crate::timers::{Due, Timers};
use crate::wire::{Body, DATAGRAM_MOST};
use crate::{Life, Member, MemberId};

/// Kind of the note "this life leaves". Others belong to the parts that put them.
const LEAVING: u16 = 0;

/// One member. Times are milliseconds on the driver's clock, which must not go back and must go on while the
/// process is stopped; what comes out depends on the inputs and the seed alone.
pub struct Fleet {
    settings: Settings,
    seeds: Vec<SocketAddr>,
    membership: Membership,
    sealer: Sealer,
    table: Table,
    fresh: Fresh,
    timers: Timers,
    random: StdRng,
    /// Whom to tell next, whom to compare digests with next.
    telling: Cycle,
    comparing: Cycle,
    counters: Counters,
    /// When an exchange may be asked for again.
    exchange_from: u64,
    left: bool,
}

impl Fleet {
    /// `life` must be later than that of any earlier run under this name. `seeds`: addresses where members may be
    /// found, this one's own among them or not.
    pub fn new(
        name: &str, life: Life, address: SocketAddr, seeds: Vec<SocketAddr>, keys: Keyring,
        settings: Settings, seed: u64,
    ) -> Result<Fleet, SettingsError> {
        settings.check()?;
        if address.ip().is_unspecified() || address.port() == 0 {
            return Err(SettingsError::Address { address });
        }
        let me = Member { id: MemberId::of_name(name), life, returns: 0, address };
        Ok(Fleet {
            membership: Membership::new(me, &settings, seed),
            sealer: Sealer::new(me.id, life, keys, settings.windows),
            table: Table::new(me.id, Bounds::of(&settings)),
            fresh: Fresh::default(),
            timers: Timers::default(),
            random: StdRng::seed_from_u64(!seed),
            telling: Cycle::default(),
            comparing: Cycle::default(),
            counters: Counters::default(),
            exchange_from: 0,
            left: false,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            settings,
        })
    }

    /// Greets the seeds and asks for the first timers. Once.
    pub fn start(&mut self, now: u64, out: &mut Vec<Effect>) {
        self.greet_all(out);
        self.after(now, self.settings.hello, Due::Hello, out);
        self.after(now, self.settings.round, Due::Round, out);
        self.after(now, self.settings.repair, Due::Repair, out);
        self.after(now, self.settings.repair, Due::Age, out);
    }

    /// One datagram, as it came. Where it came from does not matter: the seal says who sent it, and answers go to
    /// the addresses that members advertise.
    pub fn datagram(
        &mut self, now: u64, _from: SocketAddr, bytes: &[u8], out: &mut Vec<Effect>,
    ) -> Result<(), Refused> {
        self.counters.datagrams_in += 1;
        self.counters.bytes_in += bytes.len() as u64;
        let taken = self.take(now, bytes, out);
        if let Err(refused) = taken {
            self.refuse(refused, out);
        }
        taken
    }

    fn take(&mut self, now: u64, bytes: &[u8], out: &mut Vec<Effect>) -> Result<(), Refused> {
        if bytes.len() > DATAGRAM_MOST {
            return Err(Refused::Long { bytes: bytes.len(), most: DATAGRAM_MOST });
        }
        if self.left {
            return Err(Refused::Left);
        }
        let (sender, body) = self.sealer.open(Channel::Datagram, now, bytes)?;
        self.counters.by_second_key += u64::from(sender.by_second_key);
        let malformed = Refused::Malformed { from: sender.id };
        let body = Body::read(body).ok_or(malformed)?;
        match body {
            Body::Hello(member) => {
                self.same(&sender, &member)?;
                self.membership_step(now, out, |membership, asked| membership.announce(member, asked));
            }
            _ if !sender.addressed => return Err(malformed),
            Body::Swim(packet) => {
                let source = Membership::source(&packet).ok_or(malformed)?;
                self.same(&sender, &source)?;
                self.membership_step(now, out, |membership, asked| membership.packet(&packet, asked));
            }
            Body::Cells(cells) => self.take_cells(now, &cells, out),
            Body::Digests { from, to, digests } => self.answer_digests(now, sender, from..=to, &digests, out),
            Body::Want(digests) => self.answer_want(now, sender, &digests, out),
            Body::Whole => self.ask_exchange(now, sender, out),
            Body::Open(_) | Body::Done(_) => return Err(malformed),
        }
        Ok(())
    }

    /// A member speaks for itself alone about where it is and which life it lives.
    fn same(&self, sender: &Sender, member: &Member) -> Result<(), Refused> {
        if (member.id, member.life) == (sender.id, sender.life) {
            Ok(())
        } else {
            Err(Refused::Borrowed { from: sender.id })
        }
    }

    fn refuse(&mut self, refused: Refused, out: &mut Vec<Effect>) {
        self.counters.refused[refused.reason()] += 1;
        if let Refused::Ourselves { life } = refused {
            if life > self.membership.me().life {
                out.push(Effect::Superseded { life });
            }
        }
    }

    /// A timer came due. One that comes twice, or that was never asked for, does nothing.
    pub fn timer(&mut self, now: u64, token: u64, out: &mut Vec<Effect>) {
        let Some((due, late)) = self.timers.take(token, now) else { return };
        if self.left {
            return;
        }
        self.counters.late_timers += u64::from(late > self.settings.probe);
        match due {
            Due::Swim(timer) => {
                self.membership_step(now, out, |membership, asked| membership.timer(timer, late, asked));
            }
            Due::Round => {
                self.round(now, out);
                self.after(now, self.settings.round, Due::Round, out);
            }
            Due::Repair => {
                self.send_digests(out);
                self.after(now, self.settings.repair, Due::Repair, out);
            }
            Due::Hello => {
                self.greet(out);
                self.after(now, self.settings.hello, Due::Hello, out);
            }
            Due::Age => {
                self.age(now);
                self.after(now, self.settings.repair, Due::Age, out);
            }
        }
    }

    /// Says something to all: the value of this member's own cell (`kind`, `key`) from now on. Returns its version.
    /// Told anew by itself until it is taken back; values that age by themselves say so in their bytes.
    pub fn put(&mut self, now: u64, kind: u16, key: &[u8], value: Vec<u8>) -> Result<u64, TableError> {
        if kind == LEAVING {
            return Err(TableError::Reserved { kind });
        }
        self.tell(now, kind, key, Some(value))
    }

    /// Takes back what was put. Returns the version of the taking back.
    pub fn take_back(&mut self, now: u64, kind: u16, key: &[u8]) -> Result<u64, TableError> {
        if kind == LEAVING {
            return Err(TableError::Reserved { kind });
        }
        self.tell(now, kind, key, None)
    }

    fn tell(&mut self, now: u64, kind: u16, key: &[u8], value: Option<Vec<u8>>) -> Result<u64, TableError> {
        let me = self.membership.me();
        let place = Place { origin: me.id, kind, key: key.to_vec() };
        let version = self.table.next_version(me.id);
        let cell = Cell::new(place, me.life, version, 0, value);
        self.table.room_for(&cell)?;
        if self.table.merge(now, &cell) == Merged::Newer {
            self.fresh.add(cell.place);
        }
        Ok(version)
    }

    /// Says that this member leaves, to all that are active, and ends: nothing is heard or asked for after it.
    pub fn leave(&mut self, now: u64, out: &mut Vec<Effect>) {
        // The table's room is kept for this note: it is small, and a lack of room must not keep anyone from leaving.
        let me = self.membership.me();
        let place = Place { origin: me.id, kind: LEAVING, key: Vec::new() };
        let note = Cell::new(place, me.life, self.table.next_version(me.id), 0, Some(Vec::new()));
        let body = Body::Cells(vec![note]);
        for member in &self.active() {
            self.send(member, &body, out);
        }
        self.membership_step(now, out, Membership::leave);
        self.left = true;
    }

    /// Keys from now on; see [`Keyring`] for a turn-over in three steps.
    pub fn turn_keys(&mut self, keys: Keyring) {
        self.sealer.turn_keys(keys);
    }

    pub fn me(&self) -> Member {
        self.membership.me()
    }

    /// The others, as they stand, in the order of their ids. Those gone or left until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        self.membership.known()
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn after(&mut self, now: u64, after: u64, due: Due, out: &mut Vec<Effect>) {
        let token = self.timers.add(now.saturating_add(after), due);
        out.push(Effect::Timer { after, token });
    }

    fn active(&self) -> Vec<Member> {
        self.membership.active().copied().collect()
    }

    /// Active members and this one.
    fn size(&self) -> usize {
        self.membership.active().count() + 1
    }

    fn send(&mut self, to: &Member, body: &Body, out: &mut Vec<Effect>) {
        let bytes = self.sealer.seal(Channel::Datagram, Some((to.id, to.life)), &body.bytes());
        self.push(to.address, bytes, out);
    }

    fn push(&mut self, to: SocketAddr, bytes: Vec<u8>, out: &mut Vec<Effect>) {
        debug_assert!(bytes.len() <= DATAGRAM_MOST);
        self.counters.datagrams_out += 1;
        self.counters.bytes_out += bytes.len() as u64;
        out.push(Effect::Send { to, bytes });
    }

    /// Runs one step of the library and does what it asks for.
    fn membership_step(
        &mut self, now: u64, out: &mut Vec<Effect>,
        step: impl FnOnce(&mut Membership, &mut Asked) -> Result<(), Unable>,
    ) {
        let mut asked = Asked::default();
        if step(&mut self.membership, &mut asked).is_err() {
            self.counters.membership_errors += 1;
        }
        for (to, packet) in asked.sends {
            self.send(&to, &Body::Swim(packet), out);
        }
        for (after, timer) in asked.timers {
            self.after(now, after, Due::Swim(timer), out);
        }
        let table = &self.table;
        let left = |id, life| table.life(id) == Some(life) && table.get(id, LEAVING, &[]).is_some();
        for (member, state) in self.membership.changes(left) {
            self.table.later_life(member.id, member.life);
            out.push(Effect::Changed { member, state });
        }
    }
}

#[cfg(test)]
mod tests;
