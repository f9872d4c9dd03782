//! One member: what it knows and until when, and what it lends.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;

use super::journal::Journal;
use super::lease::Lease;
use super::lease_config::{Stale, Start, Terms};
use super::messages::{Answer, Ask, Lessees};
use super::peer::Peer;
use super::progress::Tracks;
use super::voter_config::{Roster, RosterError};
use super::MemberId;

/// Keys in one answer.
const MOST_KEYS: usize = 256;

/// Generic over the key of what changes ([`crate::sections::SectionKey`] in the gateway). The order that it relies on:
/// what is told is **kept on disk, then enforced, then** said to [`changed`](Member::changed) and
/// [`answered`](Member::answered).
#[derive(Clone, Debug)]
pub struct Member<K> {
    pub(super) id: MemberId,
    pub(super) incarnation: u64,
    pub(super) terms: Terms,
    stale: Stale,
    pub(super) roster: Roster,
    /// When it was taken.
    pub(super) roster_since: u64,
    start: Start,
    started: u64,
    /// A voter's word counts once it surely has all that it ever confirmed.
    caught_up: bool,
    retired: bool,
    /// Until then: the other voters heard of in full since the start, and whether they began with nothing.
    heard: BTreeMap<MemberId, bool>,
    pub(super) journal: Journal<K>,
    pub(super) peers: BTreeMap<MemberId, Peer>,
    pub(super) tracks: Tracks,
}

impl<K: Clone + Eq + Hash> Member<K> {
    /// `life` is later than all before. `kept`: the keys that the store had; none for an empty start.
    pub fn new(
        (id, incarnation): (MemberId, u64), terms: Terms, stale: Stale, roster: Roster, start: Start,
        kept: impl IntoIterator<Item = K>, now: u64,
    ) -> Member<K> {
        let mut journal = Journal::new();
        for key in kept {
            journal.push(key);
        }
        let (heard, peers, tracks) = (BTreeMap::new(), BTreeMap::new(), Tracks::default());
        let caught_up = start == Start::Kept;
        let mut member = Member {
            id,
            incarnation,
            terms,
            stale,
            roster,
            roster_since: now,
            start,
            started: now,
            caught_up,
            retired: false,
            heard,
            journal,
            peers,
            tracks,
        };
        member.catch_up();
        member
    }

    /// Something here is new, by an admin or by what another member told: it is kept and enforced. The number
    /// is for [`track`](Member::track).
    pub fn changed(&mut self, key: K) -> u64 {
        self.journal.push(key)
    }

    /// The next question to another member. To be asked of every member that is not known to have left.
    pub fn ask(&mut self, to: MemberId, now: u64) -> Ask {
        let follows = self.peers.get(&to).is_some_and(|peer| peer.follows);
        let lessees = if follows { self.lessees(now) } else { Lessees::Unknown };
        let (number, knows) = self.peers.entry(to).or_default().ask(now);
        Ask {
            from: self.id,
            incarnation: self.incarnation,
            roster: self.roster.stamp(),
            number,
            knows,
            lessees,
        }
    }

    /// The answer to a question; none to an earlier life's.
    pub fn asked(&mut self, ask: &Ask, now: u64) -> Option<Answer<K>> {
        let same_roster = ask.roster == self.roster.stamp();
        let voter = self.roster.is_voter(self.id);
        let lent = now.saturating_add(self.terms.outlasts());
        let peer = self.peers.entry(ask.from).or_default();
        if self.retired || ask.from == self.id || !peer.lives(ask.incarnation) {
            return None;
        }
        let known = if ask.knows.incarnation == self.incarnation {
            ask.knows.sequence.min(self.journal.last())
        } else {
            0
        };
        peer.confirmed = known.max(peer.confirmed);
        // An earlier question that comes late says less than what is known already.
        if ask.number > peer.heard {
            peer.heard = ask.number;
            peer.same_roster = same_roster;
            peer.lessees = Some(ask.lessees.clone());
        }
        let (keys, reach, more) = self.journal.after(known, MOST_KEYS);
        let lends = voter && self.caught_up && same_roster && !more;
        if lends {
            peer.lend(now, lent);
        }
        self.look(now);
        Some(Answer {
            from: self.id,
            incarnation: self.incarnation,
            roster: self.roster.stamp(),
            to_life: ask.incarnation,
            number: ask.number,
            after: known,
            reach,
            keys,
            more,
            lends,
            follows: self.tracks.any_open(),
            empty: self.start == Start::Empty && !self.caught_up,
        })
    }

    /// This process answers nobody any more. To be called **before** the next process under this name starts: two
    /// that answer could tell a change and lend knowledge without it. What it knows ends as all leases do; to
    /// go on knowing while it drains, it asks as a member of its own that is no voter.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// An answer, **after** the cells of its keys are merged, kept and enforced here. One of which a cell could not
    /// be read or kept must not come here: this member then goes stale, and nobody counts on it. False for
    /// one that is of no use: too late, told twice, of an earlier life.
    pub fn answered(&mut self, answer: &Answer<K>) -> bool {
        let same_roster = answer.roster == self.roster.stamp();
        let voter = self.roster.is_voter(answer.from);
        let peer = self.peers.entry(answer.from).or_default();
        if answer.to_life != self.incarnation || !peer.lives(answer.incarnation) || answer.after > peer.knows
        {
            return false;
        }
        let Some(sent) = peer.sent(answer.number) else { return false };
        peer.knows = answer.reach.max(peer.knows);
        peer.follows = answer.follows;
        if !answer.more && same_roster && voter {
            if answer.lends {
                peer.known_since = peer.known_since.max(Some(sent));
            }
            self.heard.insert(answer.from, answer.empty);
            self.catch_up();
        }
        true
    }

    /// Takes a new roster, by the steps that [`RosterError`] tells.
    pub fn set_roster(&mut self, next: Roster, now: u64) -> Result<(), RosterError> {
        self.roster.step(&next, self.knows(now))?;
        if next != self.roster {
            // What was answered under the last roster counts for nothing under this one.
            self.peers.values_mut().for_each(|peer| peer.known_since = None);
            self.peers.values_mut().for_each(|peer| peer.same_roster = false);
            self.heard.clear();
            self.roster = next;
            self.roster_since = now;
        }
        Ok(())
    }

    /// A member told that it leaves, or was taken out by an operator: it needs not be asked, and is not counted.
    /// What it may have been lent ends as all leases do.
    pub fn left(&mut self, member: MemberId) {
        if let Some(peer) = self.peers.get_mut(&member) {
            peer.begin(peer.incarnation);
        }
    }

    /// Until when this member knows, and what it may do after.
    pub fn lease(&self) -> Lease {
        Lease { until: self.known_until(), stale: self.stale }
    }

    pub fn knows(&self, now: u64) -> bool {
        self.lease().knows(now)
    }

    /// Whether it may take requests: at once with a store; without, once it knows, or has waited long enough.
    pub fn ready(&self, now: u64) -> bool {
        let waited = now >= self.started.saturating_add(self.terms.wait());
        self.start != Start::Empty || waited || self.knows(now)
    }

    /// Whether this member, if it is a voter, surely has all that it ever confirmed, and lends.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// The latest time at which those whose answers still count are enough.
    fn known_until(&self) -> u64 {
        let end = |peer: &Peer| peer.known_since.map(|since| since.saturating_add(self.terms.lease()));
        let mut ends: Vec<(u64, MemberId)> =
            self.peers.iter().filter_map(|(&id, peer)| Some((end(peer)?, id))).collect();
        if self.caught_up {
            ends.push((u64::MAX, self.id));
        }
        ends.sort_unstable_by(|one, other| other.cmp(one));
        let mut are = BTreeSet::new();
        for (end, id) in ends {
            are.insert(id);
            if self.roster.know(&are) {
                return end;
            }
        }
        0
    }

    /// A voter without its own store has caught up when the others would be enough without it, not counting those
    /// that began with nothing; or when all of them have spoken, so that there is nobody left to ask.
    fn catch_up(&mut self) {
        let mut others = self.roster.voters();
        others.remove(&self.id);
        let full: BTreeSet<MemberId> =
            self.heard.iter().filter(|(_, &empty)| !empty).map(|(&id, _)| id).collect();
        let all = others.iter().all(|id| self.heard.contains_key(id));
        self.caught_up = self.caught_up || all || self.roster.know(&full);
    }

    pub(super) fn own_lessees(&self, now: u64) -> Option<Vec<(MemberId, u64)>> {
        let since = self.started.saturating_add(self.terms.outlasts());
        let lent = self
            .peers
            .iter()
            .flat_map(|(&id, peer)| peer.lent.iter().map(move |(&incarnation, end)| (id, incarnation, end)));
        (now >= since)
            .then(|| lent.filter(|it| *it.2 > now).map(|(id, incarnation, _)| (id, incarnation)).collect())
    }

    fn lessees(&self, now: u64) -> Lessees {
        self.own_lessees(now).map_or(Lessees::Unknown, Lessees::These)
    }
}
