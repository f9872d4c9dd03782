//! Whom a member asks for how much. Nothing here bears on the safety of the budget, only on how well it is used.

use super::{Budget, ShareRequest, Units};
use crate::{Member, Ms};

/// Most members that are asked for something new at a time.
const MAX_NEW_LENDERS: usize = 4;

/// What a member tells that it would lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LendingOffer {
    pub lender: Member,
    pub units: Units,
}

impl Budget {
    /// Asks a voter for an estate: the own one, or a gone member's. The own word as a voter is taken at once, and needs
    /// no message.
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

    /// Asks for estates that are due: the own one, and of the seats that are gone those that fall to this member by
    /// rendezvous among the living. `reachable`: the other seated members that are. To be called a few times a lease.
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
                // One to spare, so that a lost datagram costs nothing; all of them when time runs short.
                voters.retain(|voter| *voter != own_id);
                voters.truncate(self.config.required_votes(true) + 1);
            }
            requests.extend(
                voters.into_iter().filter_map(|voter| Some((voter, self.request_share(now, owner, voter)?))),
            );
        }
        requests
    }

    /// How much to ask of whom, by what is needed beyond the own share.
    pub(super) fn wanted_leases(&mut self, now: Ms, offers: &[LendingOffer]) -> Vec<(Member, Units)> {
        let demanded = self.bucket.demanded_rate(now);
        // A quarter more than was asked for, so that what grows is seen to grow.
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
        // Those with the most first; among equals each life begins elsewhere, so that not all ask the same.
        available.sort_by_key(|offer| {
            (std::cmp::Reverse(offer.units), offer.lender ^ self.incarnation.rotate_left(32))
        });
        for offer in available.into_iter().take(MAX_NEW_LENDERS) {
            let want = offer.units.min(uncovered);
            uncovered -= want;
            if want > 0 {
                wanted_leases.push((offer.lender, want));
            }
        }
        wanted_leases
    }
}

/// A member's turn at an estate, the same at all members.
fn rendezvous_weight(owner: Member, member: Member) -> u64 {
    // A plain mix of two hashes.
    (owner.rotate_left(23) ^ member)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
