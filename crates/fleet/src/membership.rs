//! Membership by SWIM, over the library `foca`: probes, suspicion, refutation and dissemination. Owned by
//! [`crate::Fleet`]; timers carry their delays, and only how late one fires is passed in.
//!
//! Why a library: SWIM with suspicion and incarnations is well known and easy to get wrong in its corners (a
//! refutation that races a verdict, a rejoin under the old identity). `foca` is sans-I/O as this crate is, its
//! identities may carry an incarnation, and its randomness is an argument. What it does not report (suspects, and
//! leaving as opposed to failing) is read from its state after each step.

use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, Foca, Header, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::wire::MAX_SWIM_PACKET_BYTES;
use crate::{Incarnation, Member, MemberId, Settings};

/// State of another member, as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// A probe failed; treated as active until the suspicion times out.
    Suspect,
    /// Declared failed: the suspicion timed out without a refutation, and it had not announced its leave.
    Failed,
    /// Announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether it is a member that messages are sent to.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// Packets and timers that one step of the library asks for.
#[derive(Default)]
pub(crate) struct MembershipOutput {
    pub(crate) sends: Vec<(Member, Vec<u8>)>,
    pub(crate) timers: Vec<(u64, Timer<Member>)>,
}

impl Runtime<Member> for MembershipOutput {
    /// Ignored: changes are read from the state, which also shows suspects.
    fn notify(&mut self, _: Notification<'_, Member>) {}

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((after.as_millis() as u64, event));
    }
}

/// The library rejected a step. Its state is unchanged, or is repaired by the next probe.
#[derive(Debug)]
pub(crate) struct MembershipError;

/// The members known here, with the library's state behind them.
pub(crate) struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>,
    members: BTreeMap<MemberId, (Member, MemberState)>,
    /// Milliseconds from suspicion to failure.
    suspicion_timeout: u64,
}

/// Members that are asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Most transmissions of one update of a member's state.
const MAX_UPDATE_TRANSMISSIONS: u8 = 10;
/// Probe periods between two announcements to an active member.
const ANNOUNCE_PROBE_PERIODS: u64 = 30;
/// Probe periods between two announcements to members that are down, by which partitions find each other again.
const ANNOUNCE_TO_DOWN_PROBE_PERIODS: u64 = 2;
/// Rounds of the library's own gossip in a probe period.
const GOSSIP_ROUNDS_PER_PROBE_PERIOD: u64 = 5;

fn config(settings: &Settings) -> Config {
    let periodic = |period, members| {
        let frequency = Duration::from_millis(period);
        NonZeroUsize::new(members).map(|num_members| PeriodicParams { frequency, num_members })
    };
    Config {
        probe_period: Duration::from_millis(settings.probe),
        probe_rtt: Duration::from_millis(settings.probe_answer),
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(INDIRECT_PROBES - 1),
        max_transmissions: NonZeroU8::MIN.saturating_add(MAX_UPDATE_TRANSMISSIONS - 1),
        suspect_to_down_after: Duration::from_millis(settings.suspect),
        remove_down_after: Some(Duration::from_millis(settings.forget)),
        max_packet_size: NonZeroUsize::MIN.saturating_add(MAX_SWIM_PACKET_BYTES - 1),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_PROBE_PERIODS * settings.probe, 1),
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_PROBE_PERIODS * settings.probe, 2),
        periodic_gossip: periodic(settings.probe / GOSSIP_ROUNDS_PER_PROBE_PERIOD, 3),
    }
}

impl Membership {
    /// Membership of `me` alone; `random_seed` determines the choice of the members to probe.
    pub(crate) fn new(local: Member, settings: &Settings, random_seed: u64) -> Membership {
        let rng = StdRng::seed_from_u64(random_seed);
        let foca = Foca::new(local, config(settings), rng, PostcardCodec);
        Membership { foca, members: BTreeMap::new(), suspicion_timeout: settings.suspect }
    }

    /// This member, as it announces itself now.
    pub(crate) fn local_member(&self) -> Member {
        *self.foca.identity()
    }

    /// All other members that are not forgotten yet, in the order of their ids.
    pub(crate) fn members(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        self.members.values().map(|(member, state)| (member, *state))
    }

    /// One of them.
    pub(crate) fn get(&self, id: MemberId) -> Option<(&Member, MemberState)> {
        self.members.get(&id).map(|(member, state)| (member, *state))
    }

    /// The other members that messages are sent to.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|(_, state)| state.is_active()).map(|(member, _)| member)
    }

    /// The sender that a packet names in its header.
    pub(crate) fn packet_source(packet: &[u8]) -> Option<Member> {
        let header: Header<Member> = postcard::take_from_bytes(packet).ok()?.0;
        Some(header.src)
    }

    /// Handles a packet of the library from another member.
    pub(crate) fn handle_packet(
        &mut self, packet: &[u8], output: &mut MembershipOutput,
    ) -> Result<(), MembershipError> {
        self.foca.handle_data(packet, output).map_err(|_| MembershipError)
    }

    /// Introduces this member to one whose identity is known.
    pub(crate) fn announce(
        &mut self, to: Member, output: &mut MembershipOutput,
    ) -> Result<(), MembershipError> {
        self.foca.announce(to, output).map_err(|_| MembershipError)
    }

    /// Handles a timer that fires `late_by_ms` milliseconds after its time. After a long stop of this process, a suspicion
    /// that would have timed out meanwhile gets its whole time again: the suspect's refutation could not be received
    /// here.
    pub(crate) fn handle_timer(
        &mut self, timer: Timer<Member>, late_by_ms: u64, output: &mut MembershipOutput,
    ) -> Result<(), MembershipError> {
        if late_by_ms >= self.suspicion_timeout / 2 && matches!(timer, Timer::ChangeSuspectToDown { .. }) {
            output.timers.push((self.suspicion_timeout, timer));
            return Ok(());
        }
        self.foca.handle_timer(timer, output).map_err(|_| MembershipError)
    }

    /// Marks a member that announced its leave as down in this incarnation, and disseminates that.
    pub(crate) fn mark_left(
        &mut self, id: MemberId, incarnation: Incarnation, output: &mut MembershipOutput,
    ) -> Result<(), MembershipError> {
        let member = self
            .foca
            .iter_members()
            .map(|entry| *entry.id())
            .find(|entry| entry.id == id && entry.incarnation == incarnation);
        match member {
            Some(member) => self
                .foca
                .apply_many([foca::Member::down(member)].into_iter(), true, output)
                .map_err(|_| MembershipError),
            None => Ok(()),
        }
    }

    /// Announces to the others that this member leaves. Must be the last step.
    pub(crate) fn leave(&mut self, output: &mut MembershipOutput) -> Result<(), MembershipError> {
        self.foca.leave_cluster(output).map_err(|_| MembershipError)
    }

    /// Members that changed since the last call, in the order of their ids. `announced_leave` tells whether an
    /// incarnation announced that it leaves. A member that was never seen active is not reported as failed.
    pub(crate) fn take_changes(
        &mut self, announced_leave: impl Fn(MemberId, Incarnation) -> bool,
    ) -> Vec<(Member, MemberState)> {
        let local_id = self.foca.identity().id;
        let mut current = BTreeMap::new();
        for entry in self.foca.iter_membership_state().filter(|entry| entry.id().id != local_id) {
            let member = *entry.id();
            let is_known = self.members.contains_key(&member.id);
            let state = match entry.state() {
                foca::State::Alive => MemberState::Alive,
                foca::State::Suspect => MemberState::Suspect,
                foca::State::Down if announced_leave(member.id, member.incarnation) => MemberState::Left,
                // The cell that announces the leave expires before the member is forgotten.
                foca::State::Down if self.has_left(&member) => MemberState::Left,
                foca::State::Down => MemberState::Failed,
            };
            if state.is_active() || is_known {
                current.insert(member.id, (member, state));
            }
        }
        let is_changed = |id: &MemberId, entry| self.members.get(id) != Some(entry);
        let changed = current.iter().filter(|(id, entry)| is_changed(id, entry));
        let changed = changed.map(|(_, entry)| *entry).collect();
        self.members = current;
        changed
    }

    /// Whether this incarnation was reported as left before.
    fn has_left(&self, member: &Member) -> bool {
        self.members.get(&member.id).is_some_and(|(known, state)| {
            known.incarnation == member.incarnation && *state == MemberState::Left
        })
    }
}
