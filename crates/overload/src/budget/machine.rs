//! State machine of one member for one budget.

use serde::{Deserialize, Serialize};

use super::borrower::Leases as BorrowedLeases;
use super::share_voting::{HeldShares, VoterLedger};
#[cfg(feature = "mutants")]
use super::Fault;
use super::{
    lender::LenderLedger, token_bucket::TokenBucket, BudgetConfig, ConfigError, LeaseGrant, LeaseRequest,
    LendingOffer, MessageError, ShareRequest, ShareVote, Units,
};
use crate::{scale_by_ratio, Incarnation, Member, Ms, PerMille, PER_MILLE_SCALE};

/// Message between two members. Messages that are lost, duplicated, late or reordered do no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    LeaseRequest(LeaseRequest),
    LeaseGrant(LeaseGrant),
    ShareRequest(ShareRequest),
    ShareVote(ShareVote),
}

/// Permission to spend one retry or probe now. Callers check it again right before they use it, since the
/// process may have been suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    valid_until: Ms,
}

impl Permit {
    pub fn is_valid(&self, now: Ms) -> bool {
        now < self.valid_until
    }
}

/// State of one member for one budget. Methods treat a `now` before the latest one of a mutating call as that
/// latest time, so that a clock that goes back counts as stopped. Only [`Budget::holds_share`], and
/// `discard_past` for the model checker, use their `now` unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub(super) config: BudgetConfig,
    pub(super) member: Member,
    pub(super) incarnation: Incarnation,
    /// Time from which nothing that a former incarnation lent or voted for is in force any more.
    pub(super) former_leases_end: Ms,
    /// Latest `now` that a mutating method has received.
    latest_time: Ms,
    ledger: LenderLedger,
    pub(super) leases: BorrowedLeases,
    pub(super) votes: VoterLedger,
    pub(super) held_shares: HeldShares,
    pub(super) bucket: TokenBucket,
    retired: bool,
    #[cfg(feature = "mutants")]
    pub(super) fault: Option<Fault>,
}

impl Budget {
    /// Starts a new incarnation of a member. It has no record of what a former one lent and voted for: until
    /// that has expired, it spends only the floor of its share and what it borrows, lends nothing, and casts
    /// no votes.
    pub fn new(
        config: BudgetConfig, member: Member, incarnation: Incarnation, now: Ms,
    ) -> Result<Self, ConfigError> {
        config.check()?;
        let longest_grant =
            if config.requires_witnesses() { config.vote_duration() } else { config.lease_duration };
        Ok(Budget {
            config,
            member,
            incarnation,
            former_leases_end: now.saturating_add(config.drift_safe_wait(longest_grant)),
            latest_time: now,
            ledger: LenderLedger::default(),
            leases: BorrowedLeases::default(),
            votes: VoterLedger::default(),
            held_shares: HeldShares::default(),
            bucket: TokenBucket::new(now),
            retired: false,
            #[cfg(feature = "mutants")]
            fault: None,
        })
    }

    #[cfg(feature = "mutants")]
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.fault = fault;
        if fault == Some(Fault::ForgetsAtRestart) {
            self.former_leases_end = self.latest_time;
        }
    }

    /// For the model checker: discards what has expired and no longer affects what may be spent, so that
    /// states that behave alike are equal. Its clocks never go back, and it checks spendable rates, not saved
    /// tokens.
    #[cfg(feature = "mutants")]
    pub fn discard_past(&mut self, now: Ms) {
        self.bucket = TokenBucket::new(0);
        if self.fault == Some(Fault::TrustsOldClock) {
            return;
        }
        self.leases.prune(now, self.config.lease_duration);
        self.ledger.prune(now);
        self.votes.prune(now);
        self.held_shares.prune(now, self.config.vote_duration());
        self.latest_time = 0;
        if self.former_leases_end <= now {
            self.former_leases_end = 0;
        }
    }

    /// Returns the units that this member may spend of shares that it owns or has inherited.
    pub fn own_units(&self, now: Ms) -> Units {
        let now = now.max(self.latest_time);
        let reserved = self.ledger.reserved(now);
        #[cfg(feature = "mutants")]
        let reserved = if self.fault == Some(Fault::SpendsLent) { 0 } else { reserved };
        self.floor().saturating_add(self.lendable(now).saturating_sub(reserved))
    }

    /// Returns the units that this member has borrowed from other members.
    pub fn borrowed(&self, now: Ms) -> Units {
        #[cfg(feature = "mutants")]
        if self.fault == Some(Fault::TrustsOldClock) {
            return self.leases.total(self.latest_time);
        }
        self.leases.total(now.max(self.latest_time))
    }

    /// Returns the units that this member has borrowed from one lender.
    pub fn borrowed_from(&self, now: Ms, lender: Member) -> Units {
        let leases = self.leases.active(now.max(self.latest_time));
        leases.filter(|(from, _)| *from == lender).map(|(_, lease)| lease.amount).sum()
    }

    /// Returns the units that this member may spend now. Over all members they never sum to more than the
    /// budget.
    pub fn spendable(&self, now: Ms) -> Units {
        self.own_units(now).saturating_add(self.borrowed(now))
    }

    /// Returns the units that this member does not need itself and would lend, for its report.
    pub fn spare_units(&mut self, now: Ms) -> Units {
        let now = self.advance(now);
        self.unused_after_demand(now, self.lendable(now).saturating_sub(self.ledger.reserved(now)))
    }

    /// Spends one retry or probe, if enough tokens are saved up.
    pub fn try_spend(&mut self, now: Ms) -> Option<Permit> {
        let now = self.advance(now);
        let first_expiry = self.leases.active(now).map(|(_, lease)| lease.expires_at).min();
        let valid_until =
            first_expiry.unwrap_or(u64::MAX).min(now.saturating_add(self.config.lease_duration));
        self.bucket.try_spend(now).then_some(Permit { valid_until })
    }

    /// Creates a request to a lender for `wanted_units` in all; 0 gives back what was borrowed from it.
    pub fn request_lease(&mut self, now: Ms, lender: Member, wanted_units: Units) -> LeaseRequest {
        let now = self.advance(now);
        #[cfg(not(feature = "mutants"))]
        let keep_returned = false;
        #[cfg(feature = "mutants")]
        let keep_returned = self.fault == Some(Fault::KeepsGivenBack);
        let request = self.leases.request(now, self.incarnation, lender, wanted_units, keep_returned);
        self.bucket.refill(now, 0, self.spendable(now), self.config.burst_duration);
        request
    }

    /// Handles a message, and returns the reply to it, if any. `sender_share` is the sender's share of the
    /// fleet's traffic by what others observe: the sender may borrow up to that share of the lendable units
    /// even if this member needs them itself.
    pub fn handle_message(
        &mut self, now: Ms, sender: Member, message: &Message, sender_share: PerMille,
    ) -> Result<Option<Message>, MessageError> {
        let now = self.advance(now);
        let reply = match message {
            Message::LeaseRequest(request) => {
                Some(Message::LeaseGrant(self.grant_lease(now, sender, request, sender_share)?))
            }
            Message::ShareRequest(request) => {
                self.vote(now, sender, request.owner)?;
                let ShareRequest { incarnation, sequence, owner } = *request;
                Some(Message::ShareVote(ShareVote {
                    incarnation,
                    sequence,
                    owner,
                    duration: self.config.vote_duration(),
                }))
            }
            Message::LeaseGrant(LeaseGrant { incarnation, .. })
            | Message::ShareVote(ShareVote { incarnation, .. })
                if *incarnation != self.incarnation || self.retired =>
            {
                return Err(MessageError::OtherIncarnation);
            }
            Message::LeaseGrant(grant) => {
                self.accept_grant(now, sender, grant)?;
                None
            }
            Message::ShareVote(vote) => {
                let duration = vote.duration.min(self.config.vote_duration());
                self.held_shares.accept_vote(sender, &ShareVote { duration, ..*vote })?;
                None
            }
        };
        self.bucket.refill(now, 0, self.spendable(now), self.config.burst_duration);
        Ok(reply)
    }

    fn grant_lease(
        &mut self, now: Ms, sender: Member, request: &LeaseRequest, sender_share: PerMille,
    ) -> Result<LeaseGrant, MessageError> {
        let grant = |amount, duration| LeaseGrant {
            incarnation: request.incarnation,
            sequence: request.sequence,
            amount,
            duration,
        };
        if let Some((amount, duration)) = self.ledger.register_request(
            now,
            sender,
            request,
            self.config.drift_safe_wait(self.config.lease_duration),
        )? {
            return Ok(grant(amount, duration));
        }
        let lendable = self.lendable(now);
        let available =
            lendable.saturating_sub(self.ledger.reserved_except(now, (sender, request.incarnation)));
        let entitled = scale_by_ratio(
            u64::from(lendable),
            u64::from(sender_share.min(PER_MILLE_SCALE)),
            u64::from(PER_MILLE_SCALE),
        );
        let max_amount =
            self.unused_after_demand(now, available).max(u32::try_from(entitled).unwrap_or(u32::MAX));
        let amount = request.wanted_units.min(available).min(max_amount);
        // A lease never outlasts any of the held shares that it may be lent from.
        let duration = self.config.lease_duration.min(self.earliest_share_expiry(now).saturating_sub(now));
        #[cfg(feature = "mutants")]
        let duration =
            if self.fault == Some(Fault::LendsBeyondTenure) { self.config.lease_duration } else { duration };
        let wait = self.config.drift_safe_wait(duration);
        #[cfg(feature = "mutants")]
        let wait = if self.fault == Some(Fault::WaitsBareLength) { duration } else { wait };
        if amount > 0 {
            self.ledger.record_grant(sender, request, amount, duration, now.saturating_add(wait));
        }
        #[cfg(feature = "mutants")]
        if self.fault == Some(Fault::ForgetsFormerGrant) {
            self.ledger.drop_former_grants((sender, request.incarnation));
        }
        Ok(grant(amount, duration))
    }

    fn accept_grant(&mut self, now: Ms, sender: Member, grant: &LeaseGrant) -> Result<(), MessageError> {
        let grant = LeaseGrant { duration: grant.duration.min(self.config.lease_duration), ..*grant };
        let (earliest_start, accept_stale) = (0, false);
        #[cfg(feature = "mutants")]
        let (earliest_start, accept_stale) = match self.fault {
            Some(Fault::CountsFromArrival) => (now, false),
            Some(Fault::TakesOldGrant) => (0, true),
            _ => (earliest_start, accept_stale),
        };
        self.leases.accept_grant(earliest_start, sender, &grant, accept_stale)?;
        self.leases.prune(now, self.config.lease_duration);
        Ok(())
    }

    /// Returns the units that are never lent.
    fn floor(&self) -> Units {
        self.config.own_share() - self.config.lendable_share()
    }

    /// Returns the units that this member may lend, including those that are lent already.
    fn lendable(&self, now: Ms) -> Units {
        if now < self.former_leases_end {
            return 0;
        }
        let share_count = u32::try_from(self.held_share_expiries(now).count()).unwrap_or(u32::MAX);
        self.config.lendable_share().saturating_mul(share_count)
    }

    /// Returns what is left of `available` after the part of this member's own demand that exceeds the floor.
    fn unused_after_demand(&mut self, now: Ms, available: Units) -> Units {
        available.saturating_sub(self.bucket.demanded_rate(now).saturating_sub(self.floor()))
    }

    /// Advances the time. Between two calls, shares and leases only expire and reserved units only become
    /// free, so that the spendable rate was at least what the remaining shares and leases allow less what was
    /// reserved at the start.
    pub(super) fn advance(&mut self, now: Ms) -> Ms {
        let now = now.max(self.latest_time);
        let min_available = self
            .lendable(now)
            .min(self.lendable(self.latest_time))
            .saturating_sub(self.ledger.reserved(self.latest_time));
        let min_spendable = self.floor().saturating_add(min_available).saturating_add(self.borrowed(now));
        self.bucket.refill(now, min_spendable, self.spendable(now), self.config.burst_duration);
        self.latest_time = now;
        now
    }

    /// Gives up everything permanently: nothing is spent, lent or requested any more. For a process whose
    /// name passes to another process, before that one creates its own [`Budget`], which waits until what was
    /// lent here until now has expired.
    pub fn retire(&mut self, now: Ms) {
        let now = self.advance(now);
        self.config.owns_share = false;
        self.leases = BorrowedLeases::default();
        self.held_shares = HeldShares::default();
        self.bucket = TokenBucket::new(now);
        // Grants that are still in transit are not accepted any more.
        self.retired = true;
    }

    /// Returns the lease requests that are due: renewals of what is still needed, returns of what is not, and
    /// requests for the rest to the members that offer the most. To be called a few times per lease duration.
    pub fn due_lease_requests(&mut self, now: Ms, offers: &[LendingOffer]) -> Vec<(Member, LeaseRequest)> {
        let now = self.advance(now);
        if self.retired {
            return Vec::new();
        }
        self.leases.prune(now, self.config.lease_duration);
        let wanted_leases = self.wanted_leases(now, offers);
        wanted_leases
            .into_iter()
            .map(|(lender, wanted_units)| (lender, self.request_lease(now, lender, wanted_units)))
            .collect()
    }
}
