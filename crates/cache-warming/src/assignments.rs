//! Assignment of prefills to members.
//!
//! The member that opens a replacement assigns each prefix a primary and a backup, by rendezvous hashing
//! among the live members that hold its text, and announces the assignment. No other member prefills the
//! prefix, each of the two prefills it at most once, and a restarted member counts as another one. So a
//! prefix is prefilled at most twice in a replacement, whichever members fail, pause or receive messages
//! late.
//!
//! The backup starts only when the primary has given up, or when it has failed and the lease of its claim, if
//! one was received, has certainly ended.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::rendezvous::place;
use crate::types::{Beginning, Life, Member, Model, Ms, Node, Team};

/// One incarnation of a member, to which prefills are assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub member: Member,
    pub life: Life,
}

/// A replacement, identified by its new node and the number of the run. The run numbers of a node only
/// increase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HandOver {
    pub node: Node,
    pub run: u64,
}

/// The members that may prefill a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assigned {
    pub beginning: Beginning,
    pub first: Seat,
    pub stand_in: Option<Seat>,
}

/// A member's report to the others on its prefill of a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub hand_over: HandOver,
    pub beginning: Beginning,
    pub by: Seat,
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
/// Progress of a prefill, in ascending order: a report replaces an earlier one only if its stage is higher.
pub enum Stage {
    /// The member will prefill within its lease.
    Claimed,
    /// The member will not prefill, or did not complete the prefill.
    GivenUp,
    Read,
}

/// Why a prefill is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    #[error("run {run} of node {node:x} is not a replacement in progress here", node = .0.node.0, run = .0.run)]
    Unknown(HandOver),
    #[error("team {team:x} may not call model {model:x}; its prefix is not prefilled", team = .0.team.0, model = .0.model.0)]
    NotGranted(Beginning),
    #[error("prefix {prefix:x} is not due for a prefill by this member", prefix = .0.prefix)]
    NotMine(Beginning),
    #[error("the text of prefix {prefix:x} is no longer cached", prefix = .0.prefix)]
    NoText(Beginning),
    #[error("the lease on prefix {prefix:x} ended before it was prefilled", prefix = .0.prefix)]
    LeaseEnded(Beginning),
    #[error("the replacement has {readings} prefills, but at most {limit} are tracked")]
    TooMany { readings: usize, limit: usize },
}

impl ReadError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            ReadError::Unknown(_) => {
                "No action is needed if a replacement has just ended; otherwise order it again with `replace`."
            }
            ReadError::NotGranted(_) => {
                "No action is needed: the grant was revoked. Grant the model to the team to have the prefix prefilled."
            }
            ReadError::NotMine(_) => "No action is needed: another gateway prefills it or has done so.",
            ReadError::NoText(_) => "If this is frequent, raise the limits of bytes or age of cached texts.",
            ReadError::LeaseEnded(_) => {
                "Check why the gateway was paused; raise the lease if its host is often slow."
            }
            ReadError::TooMany { .. } => {
                "Lower the budget of a replacement, or raise the limit of prefills."
            }
        }
    }
}

/// Times and limits of assignments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Validity of a claim, measured on the clock of the member that made it (ms).
    pub lease: Ms,
    /// Additional wait of a backup, for clock drift and for messages in transit (ms).
    pub margin: Ms,
    /// Maximum number of prefills of one replacement.
    pub readings: usize,
}

/// Assigns a primary and a backup to each prefix, given the members that hold its text. Prefixes that no live
/// member holds are left out.
pub fn assign(node: Node, holders: &[(Beginning, Vec<Member>)], alive: &[Seat]) -> Vec<Assigned> {
    let assigned = |(beginning, holders): &(Beginning, Vec<Member>)| {
        let mut ranked: Vec<Seat> = alive.iter().copied().filter(|s| holders.contains(&s.member)).collect();
        ranked.sort_by_key(|s| std::cmp::Reverse((place(s.member, node, beginning), s.life)));
        ranked.dedup_by_key(|s| s.member);
        Some(Assigned { beginning: *beginning, first: *ranked.first()?, stand_in: ranked.get(1).copied() })
    };
    holders.iter().filter_map(assigned).collect()
}

struct Known {
    assigned: Assigned,
    heard: Ms,
    /// Last stage that the primary reported, and when the report was received.
    first: Option<(Stage, Ms)>,
    read: bool,
}

struct Open {
    opener: Seat,
    readings: BTreeMap<Beginning, Known>,
    /// Claims of this member with their expiry times, which are kept when the assignments change.
    mine: HashMap<Beginning, Ms>,
}

/// Prefill assignments that one member tracks.
pub struct Readers {
    me: Seat,
    terms: Terms,
    open: HashMap<HandOver, Open>,
    /// Last run of each node that has ended here. Late messages about it or about earlier runs open nothing.
    closed: HashMap<Node, u64>,
}

impl Readers {
    pub fn new(me: Seat, terms: Terms) -> Readers {
        Readers { me, terms, open: HashMap::new(), closed: HashMap::new() }
    }

    /// Opens a replacement that this member starts or that another member has announced. If two members have
    /// opened the same one, the opener that is first by rendezvous prevails at all members that receive both
    /// announcements; prefills that were completed before still count.
    pub fn open(
        &mut self, hand_over: HandOver, opener: Seat, assigned: &[Assigned], now: Ms,
    ) -> Result<(), ReadError> {
        if assigned.len() > self.terms.readings {
            return Err(ReadError::TooMany { readings: assigned.len(), limit: self.terms.readings });
        }
        let newest = self.open.keys().filter(|h| h.node == hand_over.node).map(|h| h.run).max();
        let ended = self.closed.get(&hand_over.node).copied();
        if newest.is_some_and(|run| run > hand_over.run) || ended.is_some_and(|run| run >= hand_over.run) {
            return Err(ReadError::Unknown(hand_over));
        }
        // A newer run of a node ends the older ones.
        self.open.retain(|h, _| h.node != hand_over.node || h.run == hand_over.run);
        let rank = |seat: Seat| (crate::rendezvous::mix(seat.member.0 ^ hand_over.node.0), seat);
        let open = self.open.entry(hand_over).or_insert_with(|| Open {
            opener,
            readings: BTreeMap::new(),
            mine: HashMap::new(),
        });
        if !open.readings.is_empty() && rank(open.opener) <= rank(opener) {
            return Ok(());
        }
        open.opener = opener;
        let known =
            |a: &Assigned| (a.beginning, Known { assigned: *a, heard: now, first: None, read: false });
        let before = std::mem::replace(&mut open.readings, assigned.iter().map(known).collect());
        for (beginning, known) in &mut open.readings {
            let Some(before) = before.get(beginning) else { continue };
            known.read = before.read;
            if before.assigned.first == known.assigned.first {
                (known.first, known.heard) = (before.first, before.heard);
            }
        }
        Ok(())
    }

    /// Applies another member's report. Reports on prefixes that are not open here are ignored.
    pub fn heard(&mut self, claim: &Claim, now: Ms) {
        let Some(known) = self.known(&claim.hand_over, &claim.beginning) else { return };
        known.read |= claim.stage == Stage::Read;
        let newer = known.first.is_none_or(|(stage, _)| stage < claim.stage);
        if claim.by == known.assigned.first && newer {
            known.first = Some((claim.stage, now));
        }
    }

    /// Returns the prefills that this member may claim now, ordered by identifier.
    pub fn due(&self, now: Ms, alive: &dyn Fn(Seat) -> bool) -> Vec<(HandOver, Beginning)> {
        let mut due = Vec::new();
        for (hand_over, open) in &self.open {
            let mine = open.readings.values().filter(|k| self.is_mine(open, k, now, alive));
            due.extend(mine.map(|k| (*hand_over, k.assigned.beginning)));
        }
        due.sort();
        due
    }

    /// Claims a prefill; this is possible only once. The claim must be sent to the others before the prefill.
    pub fn claim(
        &mut self, hand_over: HandOver, beginning: Beginning, now: Ms, alive: &dyn Fn(Seat) -> bool,
        granted: &dyn Fn(Team, Model) -> bool,
    ) -> Result<Claim, ReadError> {
        if !granted(beginning.team, beginning.model) {
            return Err(ReadError::NotGranted(beginning));
        }
        let open = self.open.get(&hand_over).ok_or(ReadError::Unknown(hand_over))?;
        let known = open.readings.get(&beginning).ok_or(ReadError::NotMine(beginning))?;
        if !self.is_mine(open, known, now, alive) {
            return Err(ReadError::NotMine(beginning));
        }
        let until = now.saturating_add(self.terms.lease);
        if let Some(open) = self.open.get_mut(&hand_over) {
            open.mine.insert(beginning, until);
        }
        Ok(Claim { hand_over, beginning, by: self.me, stage: Stage::Claimed })
    }

    /// Returns the text to prefill if the claim and the grant are still valid and the text is available. The
    /// caller runs this immediately before it sends the text, so that a process which was paused after its
    /// claim gives up here.
    pub fn may_read<'t>(
        &self, claim: &Claim, now: Ms, granted: &dyn Fn(Team, Model) -> bool, text: Option<&'t [u8]>,
    ) -> Result<&'t [u8], ReadError> {
        let beginning = claim.beginning;
        if !granted(beginning.team, beginning.model) {
            return Err(ReadError::NotGranted(beginning));
        }
        let open = self.open.get(&claim.hand_over).ok_or(ReadError::Unknown(claim.hand_over))?;
        let until = open.mine.get(&beginning).ok_or(ReadError::NotMine(beginning))?;
        if now >= *until {
            return Err(ReadError::LeaseEnded(beginning));
        }
        text.ok_or(ReadError::NoText(beginning))
    }

    /// Ends a prefill and returns the report for the others. The claim is no longer valid and cannot be made
    /// again.
    pub fn ended(&mut self, claim: &Claim, read: bool) -> Claim {
        if let Some(open) = self.open.get_mut(&claim.hand_over) {
            open.mine.insert(claim.beginning, 0);
        }
        if let Some(known) = self.known(&claim.hand_over, &claim.beginning) {
            known.read |= read;
        }
        Claim { stage: if read { Stage::Read } else { Stage::GivenUp }, ..*claim }
    }

    /// Removes all prefills whose team may no longer call their model.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.open.values_mut().for_each(|o| o.readings.retain(|b, _| granted(b.team, b.model)));
    }

    /// Closes a replacement that has ended, or whose node drains or has failed, and all earlier runs of the
    /// node. No more of its prefixes are prefilled.
    pub fn close(&mut self, hand_over: HandOver) {
        self.open.retain(|h, _| h.node != hand_over.node || h.run > hand_over.run);
        let last = self.closed.entry(hand_over.node).or_insert(hand_over.run);
        *last = (*last).max(hand_over.run);
    }

    /// Removes everything about a node that is permanently unlisted.
    pub fn forget(&mut self, node: Node) {
        self.open.retain(|h, _| h.node != node);
        self.closed.remove(&node);
    }

    /// Returns the number of tracked prefills.
    pub fn len(&self) -> usize {
        self.open.values().map(|o| o.readings.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn known(&mut self, hand_over: &HandOver, beginning: &Beginning) -> Option<&mut Known> {
        self.open.get_mut(hand_over)?.readings.get_mut(beginning)
    }

    fn is_mine(&self, open: &Open, known: &Known, now: Ms, alive: &dyn Fn(Seat) -> bool) -> bool {
        if known.read || open.mine.contains_key(&known.assigned.beginning) {
            return false;
        }
        if known.assigned.first == self.me {
            return true;
        }
        let Terms { lease, margin, .. } = self.terms;
        let ended = match known.first {
            None => !alive(known.assigned.first) && now >= known.heard.saturating_add(margin),
            Some((Stage::Claimed, at)) => {
                !alive(known.assigned.first) && now >= at.saturating_add(lease).saturating_add(margin)
            }
            Some((Stage::GivenUp, _)) => true,
            Some((Stage::Read, _)) => false,
        };
        known.assigned.stand_in == Some(self.me) && ended
    }
}
