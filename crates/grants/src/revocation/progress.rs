//! How far a change has come: kept, told, fleet-wide.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;

use super::lease_config::Terms;
use super::member::Member;
use super::messages::Lessees;
use super::peer::Peer;
use super::voter_config::Roster;
use super::MemberId;

/// Changes that are followed; beyond it the oldest is forgotten.
const MOST_TRACKS: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// On this member's disk, and enforced here.
    Kept,
    /// Others enforce it, too.
    Told,
    /// Every member enforces it, or its lease of knowledge has ended.
    FleetWide,
}

/// When it will be fleet-wide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bound {
    Done,
    /// At most so many ms from now, whatever fails.
    Within(u64),
    /// At most so many ms after enough of the missing voters have confirmed it. Until then nothing bounds it.
    OnceHeld {
        after: u64,
        missing: Vec<MemberId>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    pub stage: Stage,
    /// So many of the other members enforce it ...
    pub told: usize,
    /// ... of so many.
    pub of: usize,
    /// Those that have not confirmed it.
    pub missing: Vec<MemberId>,
    pub bound: Bound,
}

#[derive(Clone, Copy, Debug, Default)]
struct Track {
    held_at: Option<u64>,
    fleet_wide: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Tracks(BTreeMap<u64, Track>);

/// What is known of the voters at one time.
pub(super) struct Standing<'a> {
    peers: &'a BTreeMap<MemberId, Peer>,
    roster: &'a Roster,
    own: (MemberId, u64),
    own_lessees: Option<Vec<(MemberId, u64)>>,
    /// Whether lessees alone may settle it: a member that did not follow to this roster may know by the last one,
    /// from voters that are none any more, until that has ended.
    early: bool,
}

impl<'a> Standing<'a> {
    fn confirmed(&self, member: MemberId, sequence: u64) -> bool {
        member == self.own.0 || self.peers.get(&member).is_some_and(|peer| peer.confirmed >= sequence)
    }

    /// The voters that hold it, this member included where it is one.
    fn holders(&self, sequence: u64) -> BTreeSet<MemberId> {
        let same = |id: &MemberId| self.peers.get(id).is_some_and(|peer| peer.same_roster);
        let voters = self.roster.voters().into_iter();
        voters.filter(|&id| self.confirmed(id, sequence) && (id == self.own.0 || same(&id))).collect()
    }

    /// Whether all to whom this holder may have lent knowledge from before the change confirm it.
    fn settled(&self, holder: MemberId, sequence: u64) -> bool {
        let lessees = match self.peers.get(&holder).map(|peer| &peer.lessees) {
            _ if holder == self.own.0 => self.own_lessees.as_ref(),
            Some(Some(Lessees::These(lessees))) => Some(lessees),
            _ => None,
        };
        // An earlier life of one that confirms may still run, as during a hand-over, and knows what it knew.
        let lives = |id: MemberId, incarnation: u64| {
            self.peers.get(&id).is_some_and(|peer| peer.incarnation == incarnation)
        };
        let confirms = |&(id, incarnation): &(MemberId, u64)| {
            (id, incarnation) == self.own
                || id != self.own.0 && lives(id, incarnation) && self.confirmed(id, sequence)
        };
        lessees.is_some_and(|all| all.iter().all(confirms))
    }
}

impl Tracks {
    pub fn any_open(&self) -> bool {
        self.0.values().any(|track| !track.fleet_wide)
    }

    /// Brings all that are followed up to date.
    pub fn look(&mut self, standing: &Standing<'_>, terms: &Terms, now: u64) {
        for (&sequence, track) in self.0.iter_mut().filter(|(_, track)| !track.fleet_wide) {
            let holders = standing.holders(sequence);
            if track.held_at.is_none() && standing.roster.hold(&holders) {
                track.held_at = Some(now);
            }
            let settled = holders.into_iter().filter(|&id| standing.settled(id, sequence)).collect();
            let ended = track.held_at.is_some_and(|at| now >= at.saturating_add(terms.outlasts()));
            track.fleet_wide = ended || standing.early && standing.roster.hold(&settled);
        }
    }
}

impl<K: Clone + Eq + Hash> Member<K> {
    /// Follows the change that [`changed`](Member::changed) gave this number to. After a restart a change is
    /// followed anew by the number of its key in what was kept.
    pub fn track(&mut self, sequence: u64, now: u64) {
        self.tracks.0.entry(sequence).or_default();
        while self.tracks.0.len() > MOST_TRACKS {
            self.tracks.0.pop_first();
        }
        self.look(now);
    }

    /// How far it has come. `members`: the others that are not known to have left. None for one not followed.
    pub fn progress(&mut self, sequence: u64, members: &BTreeSet<MemberId>, now: u64) -> Option<Progress> {
        self.look(now);
        let track = *self.tracks.0.get(&sequence)?;
        let standing = self.standing(now);
        let others = members.iter().copied().filter(|&id| id != self.id);
        let (told, missing): (Vec<_>, Vec<_>) = others.partition(|&id| standing.confirmed(id, sequence));
        let after = self.terms.outlasts();
        let bound = match track.held_at {
            _ if track.fleet_wide => Bound::Done,
            Some(at) => Bound::Within(at.saturating_add(after).saturating_sub(now)),
            None => {
                let holders = standing.holders(sequence);
                let missing = self.roster.voters().difference(&holders).copied().collect();
                Bound::OnceHeld { after, missing }
            }
        };
        let stage = match (track.fleet_wide, told.is_empty()) {
            (true, _) => Stage::FleetWide,
            (false, false) => Stage::Told,
            (false, true) => Stage::Kept,
        };
        Some(Progress { stage, told: told.len(), of: told.len() + missing.len(), missing, bound })
    }

    pub(super) fn look(&mut self, now: u64) {
        let mut tracks = std::mem::take(&mut self.tracks);
        tracks.look(&self.standing(now), &self.terms, now);
        self.tracks = tracks;
    }

    fn standing(&self, now: u64) -> Standing<'_> {
        Standing {
            peers: &self.peers,
            roster: &self.roster,
            own: (self.id, self.incarnation),
            own_lessees: self.own_lessees(now),
            early: now >= self.roster_since.saturating_add(self.terms.outlasts()),
        }
    }
}
