//! The machine of one member and one budget.

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

/// What travels between two members. Lost, doubled, late and reordered ones do no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    LeaseRequest(LeaseRequest),
    LeaseGrant(LeaseGrant),
    ShareRequest(ShareRequest),
    ShareVote(ShareVote),
}

/// Leave to spend one retry or probe now. Look again right before it is used: the process may have been stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    valid_until: Ms,
}

impl Permit {
    pub fn is_valid(&self, now: Ms) -> bool {
        now < self.valid_until
    }
}

/// One member's hold on one budget. All methods that take `now` may be called in any order; a clock that goes back
/// counts as standing still.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub(super) config: BudgetConfig,
    pub(super) member: Member,
    pub(super) incarnation: Incarnation,
    /// From here on no lease of a former life is left anywhere.
    pub(super) former_leases_end: Ms,
    /// The last moment that was seen.
    latest_time: Ms,
    lent: LenderLedger,
    pub(super) leases: BorrowedLeases,
    pub(super) votes: VoterLedger,
    pub(super) held_shares: HeldShares,
    pub(super) bucket: TokenBucket,
    retired: bool,
    #[cfg(feature = "mutants")]
    pub(super) fault: Option<Fault>,
}

impl Budget {
    /// A new life of a member. It may have lent and voted in a former one, and does not remember: until that has ended it
    /// has the floor of its share alone, lends nothing, and speaks for nobody's.
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
            lent: LenderLedger::default(),
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

    /// For the explorer: forgets what has ended and what makes no difference to parts any more, so that what behaves
    /// alike is alike. Its clocks never go back, and it looks at parts, not at what is saved up of them.
    #[cfg(feature = "mutants")]
    pub fn discard_past(&mut self, now: Ms) {
        self.bucket = TokenBucket::new(0);
        if self.fault == Some(Fault::TrustsOldClock) {
            return;
        }
        self.leases.prune(now, self.config.lease_duration);
        self.lent.prune(now);
        self.votes.prune(now);
        self.held_shares.prune(now, self.config.vote_duration());
        self.latest_time = 0;
        if self.former_leases_end <= now {
            self.former_leases_end = 0;
        }
    }

    /// What this member may spend of what it owns or has inherited.
    pub fn own_units(&self, now: Ms) -> Units {
        let now = now.max(self.latest_time);
        let reserved = self.lent.reserved(now);
        #[cfg(feature = "mutants")]
        let reserved = if self.fault == Some(Fault::SpendsLent) { 0 } else { reserved };
        self.floor().saturating_add(self.lendable(now).saturating_sub(reserved))
    }

    /// What it may spend of others' shares.
    pub fn borrowed(&self, now: Ms) -> Units {
        #[cfg(feature = "mutants")]
        if self.fault == Some(Fault::TrustsOldClock) {
            return self.leases.total(self.latest_time);
        }
        self.leases.total(now.max(self.latest_time))
    }

    /// What it may spend of one lender's share.
    pub fn borrowed_from(&self, now: Ms, lender: Member) -> Units {
        let leases = self.leases.active(now.max(self.latest_time));
        leases.filter(|(from, _)| *from == lender).map(|(_, lease)| lease.amount).sum()
    }

    /// What may be spent here a second, now. Summed over all members it never exceeds the budget.
    pub fn spendable(&self, now: Ms) -> Units {
        self.own_units(now).saturating_add(self.borrowed(now))
    }

    /// What this member does not need of its own and would lend; told in its words.
    pub fn spare_units(&mut self, now: Ms) -> Units {
        let now = self.advance(now);
        self.unused_after_demand(now, self.lendable(now).saturating_sub(self.lent.reserved(now)))
    }

    /// Asks for one retry or probe.
    pub fn try_spend(&mut self, now: Ms) -> Option<Permit> {
        let now = self.advance(now);
        let first_expiry = self.leases.active(now).map(|(_, lease)| lease.expires_at).min();
        let valid_until =
            first_expiry.unwrap_or(u64::MAX).min(now.saturating_add(self.config.lease_duration));
        self.bucket.try_spend(now).then_some(Permit { valid_until })
    }

    /// An ask to a lender for so much in all; for nothing, what is held from it is given back.
    pub fn request_lease(&mut self, now: Ms, lender: Member, want: Units) -> LeaseRequest {
        let now = self.advance(now);
        #[cfg(not(feature = "mutants"))]
        let keep_returned = false;
        #[cfg(feature = "mutants")]
        let keep_returned = self.fault == Some(Fault::KeepsGivenBack);
        let request = self.leases.request(now, self.incarnation, lender, want, keep_returned);
        self.bucket.refill(now, 0, self.spendable(now), self.config.burst_duration);
        request
    }

    /// Takes a message, and gives the answer to it, if any. `share` is the sender's part of the fleet's traffic by
    /// what others see: so much it may have of what is lent here even where it is needed here.
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
        if let Some((amount, duration)) = self.lent.register_request(
            now,
            sender,
            request,
            self.config.drift_safe_wait(self.config.lease_duration),
        )? {
            return Ok(grant(amount, duration));
        }
        let lendable = self.lendable(now);
        let available =
            lendable.saturating_sub(self.lent.reserved_except(now, (sender, request.incarnation)));
        let entitled = scale_by_ratio(
            u64::from(lendable),
            u64::from(sender_share.min(PER_MILLE_SCALE)),
            u64::from(PER_MILLE_SCALE),
        );
        let max_amount =
            self.unused_after_demand(now, available).max(u32::try_from(entitled).unwrap_or(u32::MAX));
        let amount = request.want.min(available).min(max_amount);
        // Nothing is lent for longer than all of what is lent of is held.
        let duration = self.config.lease_duration.min(self.earliest_share_expiry(now).saturating_sub(now));
        #[cfg(feature = "mutants")]
        let duration =
            if self.fault == Some(Fault::LendsBeyondTenure) { self.config.lease_duration } else { duration };
        let wait = self.config.drift_safe_wait(duration);
        #[cfg(feature = "mutants")]
        let wait = if self.fault == Some(Fault::WaitsBareLength) { duration } else { wait };
        if amount > 0 {
            self.lent.record_grant(sender, request, amount, duration, now.saturating_add(wait));
        }
        #[cfg(feature = "mutants")]
        if self.fault == Some(Fault::ForgetsFormerGrant) {
            self.lent.drop_former_grants((sender, request.incarnation));
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

    /// What is never lent.
    fn floor(&self) -> Units {
        self.config.own_share() - self.config.lendable_share()
    }

    /// What this member may lend in all, by now.
    fn lendable(&self, now: Ms) -> Units {
        if now < self.former_leases_end {
            return 0;
        }
        let share_count = u32::try_from(self.held_share_expiries(now).count()).unwrap_or(u32::MAX);
        self.config.lendable_share().saturating_mul(share_count)
    }

    /// What is left of that after this member's own need.
    fn unused_after_demand(&mut self, now: Ms, available: Units) -> Units {
        available.saturating_sub(self.bucket.demanded_rate(now).saturating_sub(self.floor()))
    }

    /// Lets time pass. Between two steps estates and leases only end, and what is set aside only comes back: the least
    /// that the part can have been is what is left of the former beside all of the latter.
    pub(super) fn advance(&mut self, now: Ms) -> Ms {
        let now = now.max(self.latest_time);
        let min_available = self
            .lendable(now)
            .min(self.lendable(self.latest_time))
            .saturating_sub(self.lent.reserved(self.latest_time));
        let min_spendable = self.floor().saturating_add(min_available).saturating_add(self.borrowed(now));
        self.bucket.refill(now, min_spendable, self.spendable(now), self.config.burst_duration);
        self.latest_time = now;
        now
    }

    /// Gives up all for good: nothing is spent, lent or asked for any more. For a process whose name goes on in another
    /// one, before that one makes its own [`Budget`], which waits for what was lent here until now.
    pub fn retire(&mut self, now: Ms) {
        let now = self.advance(now);
        self.config.owns_share = false;
        self.leases = BorrowedLeases::default();
        self.held_shares = HeldShares::default();
        self.bucket = TokenBucket::new(now);
        // No grant that is still under way is for this life any more.
        self.retired = true;
    }

    /// Asks that are due: renewals of what is still needed, what is needed no more given back, and the rest from
    /// those who told the most to spare. To be called a few times in the length of a lease.
    pub fn due_lease_requests(&mut self, now: Ms, offers: &[LendingOffer]) -> Vec<(Member, LeaseRequest)> {
        let now = self.advance(now);
        if self.retired {
            return Vec::new();
        }
        self.leases.prune(now, self.config.lease_duration);
        let wanted_leases = self.wanted_leases(now, offers);
        wanted_leases
            .into_iter()
            .map(|(lender, want)| (lender, self.request_lease(now, lender, want)))
            .collect()
    }
}
