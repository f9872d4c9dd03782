//! Who is a member, over `foca`'s SWIM: probes, suspicion, refutation, spread of what was found.
//!
//! Why a library: SWIM with suspicion and incarnations is well known and easy to get wrong in its corners (a
//! refutation against a verdict, a return under the old identity); `foca` is without I/O and clock as this crate
//! is, its identities may carry a life, and its randomness is an argument. What it does not tell (suspects, and
//! leaving apart from failing) is read from its state after each step.

use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, Foca, Header, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::wire::SWIM_MOST;
use crate::{Life, Member, MemberId, Settings};

/// How the others stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    Alive,
    /// A probe failed; still counted on until it is found gone.
    Suspect,
    /// Did not answer, and did not say that it leaves.
    Gone,
    /// Said that it leaves.
    Left,
}

impl MemberState {
    /// Still spoken to and counted on.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// What a step of the library asks for.
#[derive(Default)]
pub(crate) struct Asked {
    pub(crate) sends: Vec<(Member, Vec<u8>)>,
    pub(crate) timers: Vec<(u64, Timer<Member>)>,
}

impl Runtime<Member> for Asked {
    /// What changed is read from the state, which also knows suspects.
    fn notify(&mut self, _: Notification<'_, Member>) {}

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((after.as_millis() as u64, event));
    }
}

/// The library met what it cannot go on with. It is as it was, or mends itself with the next probe.
#[derive(Debug)]
pub(crate) struct Unable;

pub(crate) struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>,
    known: BTreeMap<MemberId, (Member, MemberState)>,
    suspect: u64,
}

fn config(settings: &Settings) -> Config {
    let often = |frequency, members| {
        NonZeroUsize::new(members)
            .map(|num_members| PeriodicParams { frequency: Duration::from_millis(frequency), num_members })
    };
    Config {
        probe_period: Duration::from_millis(settings.probe),
        probe_rtt: Duration::from_millis(settings.probe_answer),
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
        max_transmissions: NonZeroU8::MIN.saturating_add(9),
        suspect_to_down_after: Duration::from_millis(settings.suspect),
        remove_down_after: Some(Duration::from_millis(settings.forget)),
        max_packet_size: NonZeroUsize::MIN.saturating_add(SWIM_MOST - 1),
        notify_down_members: true,
        periodic_announce: often(30 * settings.probe, 1),
        // Parts that were cut off from each other meet again by this.
        periodic_announce_to_down_members: often(2 * settings.probe, 2),
        periodic_gossip: often(settings.probe / 5, 3),
    }
}

impl Membership {
    pub(crate) fn new(me: Member, settings: &Settings, seed: u64) -> Membership {
        let random = StdRng::seed_from_u64(seed);
        let foca = Foca::new(me, config(settings), random, PostcardCodec);
        Membership { foca, known: BTreeMap::new(), suspect: settings.suspect }
    }

    pub(crate) fn me(&self) -> Member {
        *self.foca.identity()
    }

    pub(crate) fn known(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        self.known.values().map(|(member, state)| (member, *state))
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<(&Member, MemberState)> {
        self.known.get(&id).map(|(member, state)| (member, *state))
    }

    /// Those spoken to, without this one.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Member> {
        self.known.values().filter(|(_, state)| state.is_active()).map(|(member, _)| member)
    }

    /// Whose packet it is, by its own word.
    pub(crate) fn source(packet: &[u8]) -> Option<Member> {
        let header: Header<Member> = postcard::take_from_bytes(packet).ok()?.0;
        Some(header.src)
    }

    pub(crate) fn packet(&mut self, packet: &[u8], asked: &mut Asked) -> Result<(), Unable> {
        self.foca.handle_data(packet, asked).map_err(|_| Unable)
    }

    /// Introduces this member to one whose identity is known.
    pub(crate) fn announce(&mut self, to: Member, asked: &mut Asked) -> Result<(), Unable> {
        self.foca.announce(to, asked).map_err(|_| Unable)
    }

    /// A timer that is `late` milliseconds late. After a long stop, verdicts that were due in it are put off:
    /// those suspected had no chance to speak up here, and would be found gone by the sleep of the judge.
    pub(crate) fn timer(&mut self, timer: Timer<Member>, late: u64, asked: &mut Asked) -> Result<(), Unable> {
        if late >= self.suspect / 2 && matches!(timer, Timer::ChangeSuspectToDown { .. }) {
            asked.timers.push((self.suspect, timer));
            return Ok(());
        }
        self.foca.handle_timer(timer, asked).map_err(|_| Unable)
    }

    /// A member said that it leaves: it is told on as down in this life.
    pub(crate) fn leaves(&mut self, id: MemberId, life: Life, asked: &mut Asked) -> Result<(), Unable> {
        let member =
            self.foca.iter_members().map(|held| *held.id()).find(|held| held.id == id && held.life == life);
        match member {
            Some(member) => self
                .foca
                .apply_many([foca::Member::down(member)].into_iter(), true, asked)
                .map_err(|_| Unable),
            None => Ok(()),
        }
    }

    /// Tells the others that this member leaves. Nothing is done after it.
    pub(crate) fn leave(&mut self, asked: &mut Asked) -> Result<(), Unable> {
        self.foca.leave_cluster(asked).map_err(|_| Unable)
    }

    /// What changed since the last call, in the order of ids. `left` says whether a life of a member said that it
    /// leaves. One that was never seen alive is not told of as gone.
    pub(crate) fn changes(&mut self, left: impl Fn(MemberId, Life) -> bool) -> Vec<(Member, MemberState)> {
        let me = self.foca.identity().id;
        let mut now = BTreeMap::new();
        for held in self.foca.iter_membership_state().filter(|held| held.id().id != me) {
            let member = *held.id();
            let state = match held.state() {
                foca::State::Alive => MemberState::Alive,
                foca::State::Suspect => MemberState::Suspect,
                foca::State::Down if left(member.id, member.life) => MemberState::Left,
                foca::State::Down => MemberState::Gone,
            };
            // The note that a member left ages out of the table before the member is forgotten.
            let before = self.known.get(&member.id);
            let stays = state == MemberState::Gone
                && before
                    .is_some_and(|(known, state)| known.life == member.life && *state == MemberState::Left);
            let state = if stays { MemberState::Left } else { state };
            if state.is_active() || before.is_some() {
                now.insert(member.id, (member, state));
            }
        }
        let changed =
            now.iter().filter(|(id, entry)| self.known.get(id) != Some(entry)).map(|(_, entry)| *entry);
        let changed = changed.collect();
        self.known = now;
        changed
    }
}
