//! Progress of a change from the member that accepted it to the whole fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;

use super::lease_config::LeaseConfig;
use super::member::Member;
use super::messages::Lessees;
use super::peer::Peer;
use super::voter_config::VoterConfig;
use super::MemberId;

/// Maximum number of changes that are tracked. Beyond it the oldest one is dropped.
const MAX_TRACKED_CHANGES: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Stored on this member's disk and enforced here.
    Local,
    /// Enforced by at least one other member as well.
    Propagating,
    /// Enforced by every member that has a valid lease.
    FleetWide,
}

/// The time until a change is fleet-wide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The change is fleet-wide.
    Reached,
    /// At most this many ms from now, regardless of failures.
    WithinMs(u64),
    /// The change is not committed, so only the time after its commit is bounded. The commit itself may take
    /// any time, because it requires confirmations from a commit quorum.
    AfterCommit {
        /// Maximum time from the commit until the change is fleet-wide, in ms.
        after_ms: u64,
        /// The voters that have not confirmed the change. It is committed once enough of them confirm it to
        /// complete a commit quorum.
        missing: Vec<MemberId>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    pub stage: Stage,
    /// Number of other members that enforce the change.
    pub confirmed: usize,
    /// Number of other members.
    pub total: usize,
    /// The other members that have not confirmed the change.
    pub missing: Vec<MemberId>,
    pub bound: Bound,
}

#[derive(Clone, Copy, Debug, Default)]
struct TrackedChange {
    /// The time at which this member observed the commit quorum.
    committed_at: Option<u64>,
    fleet_wide: bool,
}

/// The tracked changes by their sequence number in this member's journal.
#[derive(Clone, Debug, Default)]
pub(super) struct TrackedChanges(BTreeMap<u64, TrackedChange>);

/// The confirmations that this member has received, at one point in time.
pub(super) struct Confirmations<'a> {
    peers: &'a BTreeMap<MemberId, Peer>,
    voter_config: &'a VoterConfig,
    /// This member and its incarnation.
    own: (MemberId, u64),
    own_lessees: Option<Vec<(MemberId, u64)>>,
    /// Whether confirmations by all lessees make a change fleet-wide. False until the lease bound has passed
    /// since this member adopted its voter configuration: a member that still uses the previous one may have
    /// a lease from voters that are no longer voters.
    lessees_suffice: bool,
}

impl<'a> Confirmations<'a> {
    fn has_confirmed(&self, member: MemberId, sequence: u64) -> bool {
        member == self.own.0 || self.peers.get(&member).is_some_and(|peer| peer.confirmed_up_to >= sequence)
    }

    /// Returns the voters that have confirmed the change, including this member if it is a voter.
    fn confirming_voters(&self, sequence: u64) -> BTreeSet<MemberId> {
        let same_config = |id: &MemberId| self.peers.get(id).is_some_and(|peer| peer.same_voter_config);
        let voters = self.voter_config.voters().into_iter();
        voters
            .filter(|&id| self.has_confirmed(id, sequence) && (id == self.own.0 || same_config(&id)))
            .collect()
    }

    /// Returns whether all members that may have a lease from this voter from before the change have
    /// confirmed the change.
    fn lessees_confirmed(&self, voter: MemberId, sequence: u64) -> bool {
        let lessees = match self.peers.get(&voter).map(|peer| &peer.lessees) {
            _ if voter == self.own.0 => self.own_lessees.as_ref(),
            Some(Some(Lessees::Known(lessees))) => Some(lessees),
            _ => None,
        };
        // Confirmations are per incarnation: an earlier incarnation of a member that confirms may still run,
        // as during a handover, without the change.
        let is_current = |id: MemberId, incarnation: u64| {
            self.peers.get(&id).is_some_and(|peer| peer.incarnation == incarnation)
        };
        let confirms = |&(id, incarnation): &(MemberId, u64)| {
            (id, incarnation) == self.own
                || id != self.own.0 && is_current(id, incarnation) && self.has_confirmed(id, sequence)
        };
        lessees.is_some_and(|all| all.iter().all(confirms))
    }
}

impl TrackedChanges {
    /// Returns whether any tracked change is not fleet-wide yet.
    pub fn any_pending(&self) -> bool {
        self.0.values().any(|change| !change.fleet_wide)
    }

    /// Updates all tracked changes from the confirmations.
    pub fn update(&mut self, confirmations: &Confirmations<'_>, lease_config: &LeaseConfig, now: u64) {
        for (&sequence, change) in self.0.iter_mut().filter(|(_, change)| !change.fleet_wide) {
            let voters = confirmations.confirming_voters(sequence);
            if change.committed_at.is_none() && confirmations.voter_config.is_commit_quorum(&voters) {
                change.committed_at = Some(now);
            }
            let with_confirmed_lessees =
                voters.into_iter().filter(|&id| confirmations.lessees_confirmed(id, sequence)).collect();
            let leases_expired =
                change.committed_at.is_some_and(|at| now >= at.saturating_add(lease_config.lease_bound_ms()));
            change.fleet_wide = leases_expired
                || confirmations.lessees_suffice
                    && confirmations.voter_config.is_commit_quorum(&with_confirmed_lessees);
        }
    }
}

impl<K: Clone + Eq + Hash> Member<K> {
    /// Starts tracking the change with this sequence number from [`record_change`](Member::record_change). To
    /// track a change again after a restart, pass the sequence number of its key among the stored keys given
    /// to [`new`](Member::new).
    pub fn track(&mut self, sequence: u64, now: u64) {
        self.tracked_changes.0.entry(sequence).or_default();
        while self.tracked_changes.0.len() > MAX_TRACKED_CHANGES {
            self.tracked_changes.0.pop_first();
        }
        self.update_progress(now);
    }

    /// Returns the progress of a change; `None` if it is not tracked. `members` are the other members that
    /// are not known to have left.
    pub fn progress(&mut self, sequence: u64, members: &BTreeSet<MemberId>, now: u64) -> Option<Progress> {
        self.update_progress(now);
        let change = *self.tracked_changes.0.get(&sequence)?;
        let confirmations = self.confirmations(now);
        let others = members.iter().copied().filter(|&id| id != self.id);
        let (confirmed, missing): (Vec<_>, Vec<_>) =
            others.partition(|&id| confirmations.has_confirmed(id, sequence));
        let after_ms = self.lease_config.lease_bound_ms();
        let bound = match change.committed_at {
            _ if change.fleet_wide => Bound::Reached,
            Some(at) => Bound::WithinMs(at.saturating_add(after_ms).saturating_sub(now)),
            None => {
                let voters = confirmations.confirming_voters(sequence);
                let missing = self.voter_config.voters().difference(&voters).copied().collect();
                Bound::AfterCommit { after_ms, missing }
            }
        };
        let stage = match (change.fleet_wide, confirmed.is_empty()) {
            (true, _) => Stage::FleetWide,
            (false, false) => Stage::Propagating,
            (false, true) => Stage::Local,
        };
        Some(Progress {
            stage,
            confirmed: confirmed.len(),
            total: confirmed.len() + missing.len(),
            missing,
            bound,
        })
    }

    pub(super) fn update_progress(&mut self, now: u64) {
        let mut tracked_changes = std::mem::take(&mut self.tracked_changes);
        tracked_changes.update(&self.confirmations(now), &self.lease_config, now);
        self.tracked_changes = tracked_changes;
    }

    fn confirmations(&self, now: u64) -> Confirmations<'_> {
        Confirmations {
            peers: &self.peers,
            voter_config: &self.voter_config,
            own: (self.id, self.incarnation),
            own_lessees: self.own_lessees(now),
            lessees_suffice: now
                >= self.voter_config_since.saturating_add(self.lease_config.lease_bound_ms()),
        }
    }
}
