//! Votes on who holds a *share*: the lendable part of what a member owns. Its owner holds it while at least
//! `witnesses` other members have recently voted for that. If the owner is unreachable, one successor can
//! hold it with `share_owners - witnesses` votes: the owner does not vote on its own share, so fewer than
//! `witnesses` voters remain for the owner. The share of a failed member thus passes to another member
//! without an elected leader, and members on one side of a partition keep their own shares as long as that
//! side has enough witnesses.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

#[cfg(feature = "mutants")]
use super::Fault;
use super::{Budget, BudgetConfig, MessageError};
use crate::{Incarnation, Member, Ms};

/// Maximum number of shares that a voter keeps records of.
const MAX_TRACKED_SHARES: usize = 256;

/// Request to a voter for holding a share: the own one, or as successor that of an unreachable member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareRequest {
    pub incarnation: Incarnation,
    /// Grows with each share request of this incarnation.
    pub sequence: u32,
    /// Member that owns the share.
    pub owner: Member,
}

/// Vote for holding a share. Its duration counts from the time of the request on the requester's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareVote {
    pub incarnation: Incarnation,
    pub sequence: u32,
    pub owner: Member,
    pub duration: Ms,
}

/// Votes that a voter has given on one share, by its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct ShareRecord {
    /// Time until which its vote for the owner is valid.
    owner_until: Ms,
    /// Successor that it has voted for, and the time until which that vote is valid.
    successor: Option<(Member, Ms)>,
    /// Time until which the vote for the successor is not renewed, because the owner is back and waits for it
    /// to expire.
    reclaimed_until: Ms,
}

/// Votes that one voter has given, by the owner of the share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct VoterLedger {
    records: BTreeMap<Member, ShareRecord>,
}

/// Checks that a planted fault leaves out.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SkippedChecks {
    pub owner_vote: bool,
    pub successor_vote: bool,
}

impl VoterLedger {
    /// Votes on whether `sender` may hold the share for `wait` more milliseconds of this voter's clock; an
    /// error is a rejection.
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

/// Shares that a member holds or has requested.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct HeldShares {
    last_sequence: u32,
    /// Sequence number and time of the newest request, by owner and voter.
    pending: BTreeMap<(Member, Member), (u32, Ms)>,
    /// Time until which each vote is valid, by owner and voter.
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

    /// Returns the time until which a share is held with `required_votes` votes; 0 if there are fewer.
    pub fn held_until(&self, owner: Member, required_votes: usize) -> Ms {
        let expiries = self.votes.range((owner, 0)..=(owner, Member::MAX));
        let mut sorted: Vec<Ms> = expiries.map(|(_, until)| *until).collect();
        sorted.sort_unstable_by(|a, b| b.cmp(a));
        required_votes.checked_sub(1).and_then(|n| sorted.get(n)).copied().unwrap_or(0)
    }

    /// Returns the owners of the shares for which any vote has been received.
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
    /// Returns whether holding a share requires votes at all; otherwise each owner always holds its own.
    pub fn requires_witnesses(&self) -> bool {
        self.witnesses > 0
    }

    /// Returns the duration of a vote on the requester's clock.
    pub fn vote_duration(&self) -> Ms {
        self.lease_duration.saturating_mul(2)
    }

    /// Returns the number of votes that the owner or a successor needs for a share. Any two sets of voters
    /// for different holders have a voter in common.
    pub(super) fn required_votes(&self, is_owner: bool) -> usize {
        let required_votes =
            if is_owner { self.witnesses } else { self.share_owners.saturating_sub(self.witnesses) };
        usize::try_from(required_votes).unwrap_or(usize::MAX)
    }
}

impl Budget {
    /// Returns whether this member holds a lendable share: its own, or that of an unreachable member.
    pub fn holds_share(&self, now: Ms, owner: Member) -> bool {
        self.share_held_until(owner) > now
    }

    /// Votes on whether `sender`, which may be this member itself, may hold the share of another member.
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

    /// Returns the time until which this member holds a share.
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

    /// Returns the times at which the shares that are held now expire, the own one included.
    pub(super) fn held_share_expiries(&self, now: Ms) -> impl Iterator<Item = Ms> + '_ {
        let other_owners = self.held_shares.owners().filter(|owner| *owner != self.member);
        other_owners
            .chain([self.member])
            .map(|owner| self.share_held_until(owner))
            .filter(move |until| *until > now)
    }

    /// Returns the earliest time at which a share that is held now expires; `now` if no share is held.
    pub(super) fn earliest_share_expiry(&self, now: Ms) -> Ms {
        self.held_share_expiries(now).min().unwrap_or(now)
    }
}
