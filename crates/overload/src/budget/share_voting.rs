//! Who holds an *estate*: the lendable share of a seat. Its owner holds it while so many others (the witnesses) have
//! pledged it lately; when the owner is gone, one heir holds it with the promises of so many that no set of witnesses is
//! left for the owner. So what a dead member owned comes back to the living, with no majority and no leader, and a
//! part of a cut fleet keeps its own as long as it has the witnesses for it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

#[cfg(feature = "mutants")]
use super::Fault;
use super::{Budget, HearError, Terms};
use crate::{Life, Member, Ms};

/// Most estates that a voter keeps books of.
const MOST_WARDS: usize = 256;

/// A member asks a voter for an estate: its own, or as heir a gone member's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hold {
    pub life: Life,
    /// Grows with each ask of this life for an estate.
    pub number: u32,
    /// The member that owns it.
    pub estate: Member,
}

/// A voter's word, counted from the moment of asking on the asker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Held {
    pub life: Life,
    pub number: u32,
    pub estate: Member,
    pub length: Ms,
}

/// What a voter has said of one estate, on its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Ward {
    /// Pledged to the owner until then.
    owner: Ms,
    /// Promised to an heir until then.
    heir: Option<(Member, Ms)>,
    /// The owner is back and waits for the heir to end: no heir is renewed until then.
    called: Ms,
}

/// A voter's books.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Votes {
    wards: BTreeMap<Member, Ward>,
}

/// Rules that a fault leaves out.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lax {
    pub pledge: bool,
    pub promise: bool,
}

impl Votes {
    /// Whether `from` may hold the estate for `wait` more, by this voter's clock.
    pub fn vote(
        &mut self, now: Ms, from: Member, estate: Member, wait: Ms, lax: Lax,
    ) -> Result<(), HearError> {
        self.prune(now);
        if self.wards.len() >= MOST_WARDS && !self.wards.contains_key(&estate) {
            return Err(HearError::TooManyBorrowers { from, most: MOST_WARDS });
        }
        let ward = self.wards.entry(estate).or_default();
        let (until, heir) = (now.saturating_add(wait), ward.heir.filter(|(_, until)| *until > now));
        if from == estate {
            if heir.is_some() && !lax.promise {
                ward.called = until;
                return Err(HearError::InOtherHands { estate });
            }
            (ward.owner, ward.called) = (until, 0);
            return Ok(());
        }
        let others = heir.is_some_and(|(heir, _)| heir != from);
        if (ward.owner > now && !lax.pledge) || others || ward.called > now {
            return Err(HearError::InOtherHands { estate });
        }
        ward.heir = Some((from, until));
        Ok(())
    }

    pub fn prune(&mut self, now: Ms) {
        self.wards.retain(|_, ward| {
            ward.heir = ward.heir.filter(|(_, until)| *until > now);
            ward.owner > now || ward.heir.is_some() || ward.called > now
        });
    }
}

/// Estates that a member holds or has asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Estates {
    asks: u32,
    /// The newest ask for an estate to a voter, and when it went out.
    asked: BTreeMap<(Member, Member), (u32, Ms)>,
    /// Until when each voter's word holds.
    words: BTreeMap<(Member, Member), Ms>,
}

impl Estates {
    pub fn ask(&mut self, now: Ms, life: Life, estate: Member, voter: Member) -> Hold {
        self.asks = self.asks.saturating_add(1);
        self.asked.insert((estate, voter), (self.asks, now));
        Hold { life, number: self.asks, estate }
    }

    pub fn take(&mut self, voter: Member, held: &Held) -> Result<(), HearError> {
        let key = (held.estate, voter);
        let (number, at) = self.asked.get(&key).copied().ok_or(HearError::OldGrant)?;
        if number != held.number {
            return Err(HearError::OldGrant);
        }
        self.asked.remove(&key);
        self.words.insert(key, at.saturating_add(held.length));
        Ok(())
    }

    /// Until when an estate is held with so many voters' words; nothing where too few have spoken.
    pub fn until(&self, estate: Member, needed: usize) -> Ms {
        let words = self.words.range((estate, 0)..=(estate, Member::MAX));
        let mut untils: Vec<Ms> = words.map(|(_, until)| *until).collect();
        untils.sort_unstable_by(|a, b| b.cmp(a));
        needed.checked_sub(1).and_then(|n| untils.get(n)).copied().unwrap_or(0)
    }

    /// Estates for which any word was heard.
    pub fn known(&self) -> impl Iterator<Item = Member> + '_ {
        let mut last = None;
        self.words.keys().map(|(estate, _)| *estate).filter(move |e| last.replace(*e) != Some(*e))
    }

    pub fn prune(&mut self, now: Ms, tenure: Ms) {
        self.asked.retain(|_, (_, at)| now < at.saturating_add(tenure));
        self.words.retain(|_, until| *until > now);
    }
}

impl Terms {
    /// Whether estates must be witnessed at all; else each owner holds its own for good.
    pub fn witnessed(&self) -> bool {
        self.witnesses > 0
    }

    /// Length of a voter's word on its asker's clock.
    pub fn tenure(&self) -> Ms {
        self.lease.saturating_mul(2)
    }

    /// Voters' words that an owner needs, and an heir: any two such sets have a voter in common.
    pub(super) fn needed(&self, own: bool) -> usize {
        let needed = if own { self.witnesses } else { self.seats.saturating_sub(self.witnesses) };
        usize::try_from(needed).unwrap_or(usize::MAX)
    }
}

impl Budget {
    /// Whether a member's lendable share is in these hands: its own, or another's that is gone.
    pub fn has(&self, now: Ms, estate: Member) -> bool {
        self.tenure_of(estate) > now
    }

    /// This member's word on whether another may hold an estate.
    pub(super) fn vote(&mut self, now: Ms, from: Member, estate: Member) -> Result<(), HearError> {
        let may = self.terms.seated && self.terms.witnessed() && now >= self.whole_at && estate != self.me;
        if !may {
            return Err(HearError::InOtherHands { estate });
        }
        #[cfg(not(feature = "mutants"))]
        let lax = Lax::default();
        #[cfg(feature = "mutants")]
        let lax = Lax {
            pledge: self.fault == Some(Fault::ForgetsPledge),
            promise: self.fault == Some(Fault::ForgetsPromise),
        };
        self.votes.vote(now, from, estate, self.terms.wait(self.terms.tenure()), lax)
    }

    /// Until when an estate is held here.
    pub(super) fn tenure_of(&self, estate: Member) -> Ms {
        if estate == self.me && !self.terms.witnessed() {
            return Ms::MAX;
        }
        let needed = self.terms.needed(estate == self.me);
        #[cfg(feature = "mutants")]
        let needed = needed - usize::from(estate != self.me && self.fault == Some(Fault::InheritsByTooFew));
        self.estates.until(estate, needed)
    }

    /// Tenures of all estates that are held now, the own one among them.
    pub(super) fn tenures(&self, now: Ms) -> impl Iterator<Item = Ms> + '_ {
        let others = self.estates.known().filter(|estate| *estate != self.me);
        others.chain([self.me]).map(|estate| self.tenure_of(estate)).filter(move |until| *until > now)
    }

    /// The first moment at which any of them ends.
    pub(super) fn holds_until(&self, now: Ms) -> Ms {
        self.tenures(now).min().unwrap_or(now)
    }
}
