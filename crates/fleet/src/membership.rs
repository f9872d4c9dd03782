//! SWIM membership by the library `foca`: probes, suspicion, refutation and dissemination.
//!
//! Owned by [`crate::Fleet`]. Needs no clock: timers are requested with a delay, and the caller reports how late a
//! timer fires.
//!
//! SWIM with suspicion and incarnations is well known, but its corner cases are error-prone (a refutation that races a
//! failure declaration, a rejoin under the old identity), hence the library. `foca` does no I/O either, lets an
//! identity contain an incarnation, and takes its random source as an argument. It does not report suspects, and does
//! not distinguish leaving from failing; both are derived from its state after each step.

use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, Foca, Header, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::wire::MAX_SWIM_PACKET_BYTES;
use crate::{Incarnation, Member, MemberId, Settings};

/// State of another member in the view of this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Active, and not suspected.
    Alive,
    /// A probe failed. Treated as active until the suspicion times out.
    Suspect,
    /// Declared failed: the suspicion timed out without a refutation, and the member had not announced its leave.
    Failed,
    /// Announced its leave.
    Left,
}

impl MemberState {
    /// Whether messages are sent to members in this state.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// Packets to send and timers to set after one step of the library. Timers have a delay in milliseconds.
#[derive(Default)]
pub(crate) struct MembershipOutput {
    pub(crate) sends: Vec<(Member, Vec<u8>)>,
    pub(crate) timers: Vec<(u64, Timer<Member>)>,
}

impl Runtime<Member> for MembershipOutput {
    /// Ignores notifications: changes are derived from the library's state, which also contains suspects.
    fn notify(&mut self, _: Notification<'_, Member>) {}

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((after.as_millis() as u64, event));
    }
}

/// The library rejected a step. Its state is unchanged, or is corrected by the next probe.
#[derive(Debug)]
pub(crate) struct MembershipError;

/// The library's state, and the members derived from it after the last step.
pub(crate) struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>,
    members: BTreeMap<MemberId, (Member, MemberState)>,
    /// Time in milliseconds after which a suspect is declared failed.
    suspicion_timeout: u64,
}

/// Number of members that are requested to probe a member that did not respond to a direct probe.
const INDIRECT_PROBES: usize = 3;
/// Maximum number of transmissions of one update of a member's state.
const MAX_UPDATE_TRANSMISSIONS: u8 = 10;
/// Time between two announcements to an active member, in probe periods.
const ANNOUNCE_PROBE_PERIODS: u64 = 30;
/// Time between two announcements to members that are down, in probe periods. Through them healed partitions rediscover
/// each other.
const ANNOUNCE_TO_DOWN_PROBE_PERIODS: u64 = 2;
/// Number of rounds of the library's own gossip in a probe period.
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
    /// Creates a membership with `local` as the only member. `random_seed` determines which members are probed when.
    pub(crate) fn new(local: Member, settings: &Settings, random_seed: u64) -> Membership {
        let rng = StdRng::seed_from_u64(random_seed);
        let foca = Foca::new(local, config(settings), rng, PostcardCodec);
        Membership { foca, members: BTreeMap::new(), suspicion_timeout: settings.suspect }
    }

    /// The current identity of this member.
    pub(crate) fn local_member(&self) -> Member {
        *self.foca.identity()
    }

    /// All other members in the order of their ids, including those that failed or left and are not forgotten yet.
    pub(crate) fn members(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        self.members.values().map(|(member, state)| (member, *state))
    }

    /// The identity and state of another member; `None` if it is unknown.
    pub(crate) fn get(&self, id: MemberId) -> Option<(&Member, MemberState)> {
        self.members.get(&id).map(|(member, state)| (member, *state))
    }

    /// The other members that are alive or suspect.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|(_, state)| state.is_active()).map(|(member, _)| member)
    }

    /// The sender in the header of a packet; `None` if the header is malformed.
    pub(crate) fn packet_source(packet: &[u8]) -> Option<Member> {
        let header: Header<Member> = postcard::take_from_bytes(packet).ok()?.0;
        Some(header.src)
    }

    /// Passes a packet from another member to the library.
    pub(crate) fn handle_packet(
        &mut self, packet: &[u8], output: &mut MembershipOutput,
    ) -> Result<(), MembershipError> {
        self.foca.handle_data(packet, output).map_err(|_| MembershipError)
    }

    /// Announces this member to another one whose identity is known.
    pub(crate) fn announce(
        &mut self, to: Member, output: &mut MembershipOutput,
    ) -> Result<(), MembershipError> {
        self.foca.announce(to, output).map_err(|_| MembershipError)
    }

    /// Handles a timer that fires `late_by_ms` milliseconds after its due time.
    ///
    /// A suspicion timeout that fires late by half the timeout or more is restarted in full: this process was stopped
    /// in the meantime and could not receive the suspect's refutation.
    pub(crate) fn handle_timer(
        &mut self, timer: Timer<Member>, late_by_ms: u64, output: &mut MembershipOutput,
    ) -> Result<(), MembershipError> {
        if late_by_ms >= self.suspicion_timeout / 2 && matches!(timer, Timer::ChangeSuspectToDown { .. }) {
            output.timers.push((self.suspicion_timeout, timer));
            return Ok(());
        }
        self.foca.handle_timer(timer, output).map_err(|_| MembershipError)
    }

    /// Marks this incarnation of a member, which announced its leave, as down and disseminates the update.
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

    /// Announces to the other members that this one leaves. Must be the last step.
    pub(crate) fn leave(&mut self, output: &mut MembershipOutput) -> Result<(), MembershipError> {
        self.foca.leave_cluster(output).map_err(|_| MembershipError)
    }

    /// Returns the members that changed since the last call, in the order of their ids. Members that were
    /// forgotten are not returned.
    ///
    /// `announced_leave` returns whether an incarnation has announced its leave. A member that was never active here is
    /// not reported as failed or left.
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
                // The cell that announces the leave may expire before the member is forgotten.
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
