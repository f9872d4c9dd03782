//! Who reads. The member that opens a hand-over names for each beginning a first reader and a stand-in, by rendezvous among
//! those alive that hold its text, and tells that. Nobody else ever reads it, each at most once, and a new life of a member is
//! somebody else: so there are at most two readings of a beginning in a hand-over, whoever dies, stops or hears late. The
//! stand-in begins only when the first is gone and the lease of its claim, where one was heard, has surely ended.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::rendezvous::place;
use crate::terms::{Beginning, Life, Member, Model, Ms, Node, Team};

/// One life of a member: what reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub member: Member,
    pub life: Life,
}

/// One hand-over: of a node, for the so-manieth time. Runs of a node only grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HandOver {
    pub node: Node,
    pub run: u64,
}

/// Who may read a beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assigned {
    pub beginning: Beginning,
    pub first: Seat,
    pub stand_in: Option<Seat>,
}

/// What a reader tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub hand_over: HandOver,
    pub beginning: Beginning,
    pub by: Seat,
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It will read within its lease.
    Claimed,
    /// It will not, or has not read to the end.
    GivenUp,
    Read,
}

/// Why a reading is not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    #[error("hand-over {run} of node {node:x} is not known here, or is over", node = .0.node.0, run = .0.run)]
    Unknown(HandOver),
    #[error("team {team:x} may not call model {model:x}: its beginning is not read", team = .0.team.0, model = .0.model.0)]
    NotGranted(Beginning),
    #[error("beginning {prefix:x} is not this member's to read, or not yet", prefix = .0.prefix)]
    NotMine(Beginning),
    #[error("the text of beginning {prefix:x} is not held any more", prefix = .0.prefix)]
    NoText(Beginning),
    #[error("the lease on beginning {prefix:x} ended before it was read", prefix = .0.prefix)]
    LeaseEnded(Beginning),
    #[error("{readings} readings of one hand-over, at most {limit} are remembered")]
    TooMany { readings: usize, limit: usize },
}

impl ReadError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            ReadError::Unknown(_) => {
                "Nothing, where a replacement has just ended; else order it again with `replace`."
            }
            ReadError::NotGranted(_) => {
                "Nothing: the grant was taken back. Grant the model to the team to have it read."
            }
            ReadError::NotMine(_) => "Nothing: another gateway reads it, or has read it.",
            ReadError::NoText(_) => "Raise the bytes or the age of kept texts if this is frequent.",
            ReadError::LeaseEnded(_) => {
                "Look why the gateway stood still; raise the lease if its host is often slow."
            }
            ReadError::TooMany { .. } => {
                "Lower the budget of a replacement, or raise the number of readings."
            }
        }
    }
}

/// Times and bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// A claim holds so long on its reader's clock.
    pub lease: Ms,
    /// A stand-in waits so long more, for clocks that drift and for news under way.
    pub margin: Ms,
    /// Readings of one hand-over.
    pub readings: usize,
}

/// Names readers for these beginnings, each with who holds its text; what nobody alive holds is left out.
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
    /// What the first reader told last, and when it was heard.
    first: Option<(Stage, Ms)>,
    read: bool,
}

struct Open {
    opener: Seat,
    readings: BTreeMap<Beginning, Known>,
    /// Claims of this member, which outlive a change of who is assigned: until when each holds.
    mine: HashMap<Beginning, Ms>,
}

/// What one member knows of the readings under way.
pub struct Readers {
    me: Seat,
    terms: Terms,
    open: HashMap<HandOver, Open>,
    /// The last run of each node that is over here: late news of it, or of earlier ones, opens nothing.
    closed: HashMap<Node, u64>,
}

impl Readers {
    pub fn new(me: Seat, terms: Terms) -> Readers {
        Readers { me, terms, open: HashMap::new(), closed: HashMap::new() }
    }

    /// A hand-over is opened by this member, or another's opening was heard. Where two have opened one, the opener that is first
    /// by rendezvous holds at all who hear both; what was read before goes on counting.
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

    /// Another member's word on a beginning. News of what is not open here changes nothing.
    pub fn heard(&mut self, claim: &Claim, now: Ms) {
        let Some(known) = self.known(&claim.hand_over, &claim.beginning) else { return };
        known.read |= claim.stage == Stage::Read;
        let newer = known.first.is_none_or(|(stage, _)| stage < claim.stage);
        if claim.by == known.assigned.first && newer {
            known.first = Some((claim.stage, now));
        }
    }

    /// What this member may claim now, in the order of names.
    pub fn due(&self, now: Ms, alive: &dyn Fn(Seat) -> bool) -> Vec<(HandOver, Beginning)> {
        let mut due = Vec::new();
        for (hand_over, open) in &self.open {
            let mine = open.readings.values().filter(|k| self.is_mine(open, k, now, alive));
            due.extend(mine.map(|k| (*hand_over, k.assigned.beginning)));
        }
        due.sort();
        due
    }

    /// Claims a beginning, once and for all. The word goes out before the reading.
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

    /// Just before the bytes go out: whether the claim still holds, the grant too, and the text is there. A process that was
    /// stopped in between gives up here.
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

    /// The reading is over; what to tell the others. The claim holds no longer, and is not taken again.
    pub fn ended(&mut self, claim: &Claim, read: bool) -> Claim {
        if let Some(open) = self.open.get_mut(&claim.hand_over) {
            open.mine.insert(claim.beginning, 0);
        }
        if let Some(known) = self.known(&claim.hand_over, &claim.beginning) {
            known.read |= read;
        }
        Claim { stage: if read { Stage::Read } else { Stage::GivenUp }, ..*claim }
    }

    /// Lets go of all readings that their teams may not have any more.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.open.values_mut().for_each(|o| o.readings.retain(|b, _| granted(b.team, b.model)));
    }

    /// The hand-over is over, or the node drains or is gone: nothing of it is read any more.
    pub fn close(&mut self, hand_over: HandOver) {
        self.open.retain(|h, _| h.node != hand_over.node || h.run > hand_over.run);
        let last = self.closed.entry(hand_over.node).or_insert(hand_over.run);
        *last = (*last).max(hand_over.run);
    }

    /// A node is off every list for good: nothing is remembered of it.
    pub fn forget(&mut self, node: Node) {
        self.open.retain(|h, _| h.node != node);
        self.closed.remove(&node);
    }

    /// Readings that are remembered.
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
