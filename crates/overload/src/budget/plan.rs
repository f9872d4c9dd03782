//! Planning of requests: from which members units and votes are requested. It affects how well the budget is
//! used, never its safety.

use super::{Budget, ShareRequest, Units};
use crate::{Member, Ms};

/// Maximum number of members to which requests for a new lease are sent at a time.
const MAX_NEW_LENDERS: usize = 4;

/// Units that a member reports it would lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LendingOffer {
    pub lender: Member,
    pub units: Units,
}

impl Budget {
    /// Requests the vote of `voter` for holding a share: the own one, or that of an unreachable member. The
    /// vote of this member itself is recorded at once and needs no message.
    pub fn request_share(&mut self, now: Ms, owner: Member, voter: Member) -> Option<ShareRequest> {
        let now = self.advance(now);
        if owner == voter || !self.config.owns_share || !self.config.requires_witnesses() {
            return None;
        }
        let request = self.held_shares.request(now, self.incarnation, owner, voter);
        if voter != self.member {
            return Some(request);
        }
        if self.vote(now, voter, owner).is_ok() {
            let ShareRequest { incarnation, sequence, owner } = request;
            let vote =
                super::ShareVote { incarnation, sequence, owner, duration: self.config.vote_duration() };
            _ = self.held_shares.accept_vote(voter, &vote);
        }
        None
    }

    /// Returns the share requests that are due: for the own share, and for the shares of unreachable owners
    /// for which this member is the successor by rendezvous hashing among the reachable owners. `reachable`
    /// are the other reachable owners. To be called a few times per lease duration.
    pub fn due_share_requests(
        &mut self, now: Ms, reachable: &[Member], unreachable: &[Member],
    ) -> Vec<(Member, ShareRequest)> {
        let now = self.advance(now);
        let (vote_duration, own_id) = (self.config.vote_duration(), self.member);
        self.held_shares.prune(now, vote_duration);
        let is_successor = |owner: Member| {
            reachable
                .iter()
                .copied()
                .chain([own_id])
                .max_by_key(|candidate| rendezvous_weight(owner, *candidate))
                == Some(own_id)
        };
        let owners = unreachable
            .iter()
            .copied()
            .filter(|owner| *owner != own_id && is_successor(*owner))
            .chain([own_id]);
        let mut requests = Vec::new();
        for owner in owners.collect::<Vec<_>>() {
            let remaining = self.share_held_until(owner).saturating_sub(now);
            if remaining >= vote_duration / 2 {
                continue;
            }
            let mut voters: Vec<Member> = reachable.iter().copied().chain([own_id]).collect();
            voters.sort_by_key(|voter| rendezvous_weight(owner, *voter));
            if owner == own_id && remaining > vote_duration / 4 {
                // One voter more than required, so that a lost datagram does no harm; all voters when time
                // runs short.
                voters.retain(|voter| *voter != own_id);
                voters.truncate(self.config.required_votes(true) + 1);
            }
            requests.extend(
                voters.into_iter().filter_map(|voter| Some((voter, self.request_share(now, owner, voter)?))),
            );
        }
        requests
    }

    /// Returns how much to request from whom, by the demand that the own share does not cover.
    pub(super) fn wanted_leases(&mut self, now: Ms, offers: &[LendingOffer]) -> Vec<(Member, Units)> {
        let demanded = self.bucket.demanded_rate(now);
        // A quarter more than the demand, so that it has room to grow.
        let mut uncovered = demanded.saturating_add(demanded / 4).saturating_sub(self.own_units(now));
        let mut wanted_leases = Vec::new();
        let lease_duration = self.config.lease_duration;
        for (lender, lease) in self.leases.active(now).collect::<Vec<_>>() {
            let is_due = lease.expires_at.saturating_sub(now) < lease_duration / 2;
            let kept = lease.amount.min(uncovered);
            uncovered -= kept;
            if kept == 0 || (is_due && !self.leases.is_pending(now, lender, lease_duration)) {
                wanted_leases.push((lender, kept));
            }
        }
        let is_available = |offer: &&LendingOffer| {
            let is_lender = self.leases.active(now).any(|(lender, _)| lender == offer.lender);
            offer.units > 0 && !is_lender && !self.leases.is_pending(now, offer.lender, lease_duration)
        };
        let mut available: Vec<&LendingOffer> = offers.iter().filter(is_available).collect();
        // Largest offers first. Each incarnation orders equal offers differently, so that members do not all
        // use the same lender.
        available.sort_by_key(|offer| {
            (std::cmp::Reverse(offer.units), offer.lender ^ self.incarnation.rotate_left(32))
        });
        for offer in available.into_iter().take(MAX_NEW_LENDERS) {
            let wanted_units = offer.units.min(uncovered);
            uncovered -= wanted_units;
            if wanted_units > 0 {
                wanted_leases.push((offer.lender, wanted_units));
            }
        }
        wanted_leases
    }
}

/// Returns a member's rendezvous weight for a share, the same at all members.
fn rendezvous_weight(owner: Member, member: Member) -> u64 {
    // A simple mix of the arguments, which are hashes already.
    (owner.rotate_left(23) ^ member)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
