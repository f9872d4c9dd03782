//! Who holds an *estate*: the lendable share of a seat. Its owner holds it while so many others (the witnesses) have
//! pledged it lately; when the owner is gone, one heir holds it with the promises of so many that no set of witnesses is
//! left for the owner. So what a dead member owned comes back to the living, with no majority and no leader, and a
//! part of a cut fleet keeps its own as long as it has the witnesses for it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

#[cfg(feature = "mutants")]
use super::Fault;
use super::{Budget, BudgetConfig, MessageError};
use crate::{Incarnation, Member, Ms};

/// Most estates that a voter keeps books of.
const MAX_TRACKED_SHARES: usize = 256;

/// A member asks a voter for an estate: its own, or as heir a gone member's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareRequest {
    pub incarnation: Incarnation,
    /// Grows with each ask of this life for an estate.
    pub sequence: u32,
    /// The member that owns it.
    pub owner: Member,
}

/// A voter's word, counted from the moment of asking on the asker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareVote {
    pub incarnation: Incarnation,
    pub sequence: u32,
    pub owner: Member,
    pub duration: Ms,
}

/// What a voter has said of one estate, on its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct ShareRecord {
    /// Pledged to the owner until then.
    owner_until: Ms,
    /// Promised to an heir until then.
    successor: Option<(Member, Ms)>,
    /// The owner is back and waits for the heir to end: no heir is renewed until then.
    reclaimed_until: Ms,
}

/// A voter's books.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct VoterLedger {
    records: BTreeMap<Member, ShareRecord>,
}

/// Rules that a fault leaves out.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SkippedChecks {
    pub owner_vote: bool,
    pub successor_vote: bool,
}

impl VoterLedger {
    /// Whether `sender` may hold the estate for `wait` more, by this voter's clock.
    pub fn vote(
        &mut self, now: Ms, sender: Member, owner: Member, wait: Ms, skipped: SkippedChecks,
    ) -> Result<(), MessageError> {
        self.prune(now);
        if self.records.len() >= MAX_TRACKED_SHARES && !self.records.contains_key(&owner) {
            return Err(MessageError::TableFull { sender, max: MAX_TRACKED_SHARES });
        }
        let record = self.records.entry(owner).or_default();
        let (until, successor) =
            (now.saturating_add(wait), record.successor.filter(|(_, until)| *until > now));
        if sender == owner {
            if successor.is_some() && !skipped.successor_vote {
                record.reclaimed_until = until;
                return Err(MessageError::ShareUnavailable { owner });
            }
            (record.owner_until, record.reclaimed_until) = (until, 0);
            return Ok(());
        }
        let is_promised_elsewhere = successor.is_some_and(|(successor, _)| successor != sender);
        if (record.owner_until > now && !skipped.owner_vote)
            || is_promised_elsewhere
            || record.reclaimed_until > now
        {
            return Err(MessageError::ShareUnavailable { owner });
        }
        record.successor = Some((sender, until));
        Ok(())
    }

    pub fn prune(&mut self, now: Ms) {
        self.records.retain(|_, record| {
            record.successor = record.successor.filter(|(_, until)| *until > now);
            record.owner_until > now || record.successor.is_some() || record.reclaimed_until > now
        });
    }
}

/// Estates that a member holds or has asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct HeldShares {
    last_sequence: u32,
    /// The newest ask for an estate to a voter, and when it went out.
    pending: BTreeMap<(Member, Member), (u32, Ms)>,
    /// Until when each voter's word holds.
    votes: BTreeMap<(Member, Member), Ms>,
}

impl HeldShares {
    pub fn request(
        &mut self, now: Ms, incarnation: Incarnation, owner: Member, voter: Member,
    ) -> ShareRequest {
        self.last_sequence = self.last_sequence.saturating_add(1);
        self.pending.insert((owner, voter), (self.last_sequence, now));
        ShareRequest { incarnation, sequence: self.last_sequence, owner }
    }

    pub fn accept_vote(&mut self, voter: Member, vote: &ShareVote) -> Result<(), MessageError> {
        let key = (vote.owner, voter);
        let (sequence, requested_at) = self.pending.get(&key).copied().ok_or(MessageError::StaleReply)?;
        if sequence != vote.sequence {
            return Err(MessageError::StaleReply);
        }
        self.pending.remove(&key);
        self.votes.insert(key, requested_at.saturating_add(vote.duration));
        Ok(())
    }

    /// Until when an estate is held with so many voters' words; nothing where too few have spoken.
    pub fn held_until(&self, owner: Member, required_votes: usize) -> Ms {
        let expiries = self.votes.range((owner, 0)..=(owner, Member::MAX));
        let mut sorted: Vec<Ms> = expiries.map(|(_, until)| *until).collect();
        sorted.sort_unstable_by(|a, b| b.cmp(a));
        required_votes.checked_sub(1).and_then(|n| sorted.get(n)).copied().unwrap_or(0)
    }

    /// Estates for which any word was heard.
    pub fn owners(&self) -> impl Iterator<Item = Member> + '_ {
        let mut last = None;
        self.votes.keys().map(|(owner, _)| *owner).filter(move |owner| last.replace(*owner) != Some(*owner))
    }

    pub fn prune(&mut self, now: Ms, vote_duration: Ms) {
        self.pending.retain(|_, (_, requested_at)| now < requested_at.saturating_add(vote_duration));
        self.votes.retain(|_, until| *until > now);
    }
}

impl BudgetConfig {
    /// Whether estates must be witnessed at all; else each owner holds its own for good.
    pub fn requires_witnesses(&self) -> bool {
        self.witnesses > 0
    }

    /// Length of a voter's word on its asker's clock.
    pub fn vote_duration(&self) -> Ms {
        self.lease_duration.saturating_mul(2)
    }

    /// Voters' words that an owner needs, and an heir: any two such sets have a voter in common.
    pub(super) fn required_votes(&self, is_owner: bool) -> usize {
        let required_votes =
            if is_owner { self.witnesses } else { self.share_owners.saturating_sub(self.witnesses) };
        usize::try_from(required_votes).unwrap_or(usize::MAX)
    }
}

impl Budget {
    /// Whether a member's lendable share is in these hands: its own, or another's that is gone.
    pub fn holds_share(&self, now: Ms, owner: Member) -> bool {
        self.share_held_until(owner) > now
    }

    /// This member's word on whether another may hold an estate.
    pub(super) fn vote(&mut self, now: Ms, sender: Member, owner: Member) -> Result<(), MessageError> {
        let may_vote = self.config.owns_share
            && self.config.requires_witnesses()
            && now >= self.former_leases_end
            && owner != self.member;
        if !may_vote {
            return Err(MessageError::ShareUnavailable { owner });
        }
        #[cfg(not(feature = "mutants"))]
        let skipped = SkippedChecks::default();
        #[cfg(feature = "mutants")]
        let skipped = SkippedChecks {
            owner_vote: self.fault == Some(Fault::ForgetsPledge),
            successor_vote: self.fault == Some(Fault::ForgetsPromise),
        };
        self.votes.vote(now, sender, owner, self.config.drift_safe_wait(self.config.vote_duration()), skipped)
    }

    /// Until when an estate is held here.
    pub(super) fn share_held_until(&self, owner: Member) -> Ms {
        if owner == self.member && !self.config.requires_witnesses() {
            return Ms::MAX;
        }
        let required_votes = self.config.required_votes(owner == self.member);
        #[cfg(feature = "mutants")]
        let required_votes =
            required_votes - usize::from(owner != self.member && self.fault == Some(Fault::InheritsByTooFew));
        self.held_shares.held_until(owner, required_votes)
    }

    /// Tenures of all estates that are held now, the own one among them.
    pub(super) fn held_share_expiries(&self, now: Ms) -> impl Iterator<Item = Ms> + '_ {
        let other_owners = self.held_shares.owners().filter(|owner| *owner != self.member);
        other_owners
            .chain([self.member])
            .map(|owner| self.share_held_until(owner))
            .filter(move |until| *until > now)
    }

    /// The first moment at which any of them ends.
    pub(super) fn earliest_share_expiry(&self, now: Ms) -> Ms {
        self.held_share_expiries(now).min().unwrap_or(now)
    }
}
