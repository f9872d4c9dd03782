//! Whom a member asks for how much. Nothing here bears on the safety of the budget, only on how well it is used.

use super::{Budget, Hold, Units};
use crate::{Member, Ms};

/// Most members that are asked for something new at a time.
const ASKED_AT_ONCE: usize = 4;

/// What a member tells that it would lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spare {
    pub member: Member,
    pub units: Units,
}

impl Budget {
    /// Asks a voter for an estate: the own one, or a gone member's. The own word as a voter is taken at once, and needs
    /// no message.
    pub fn hold(&mut self, now: Ms, estate: Member, voter: Member) -> Option<Hold> {
        let now = self.pass(now);
        if estate == voter || !self.terms.seated || !self.terms.witnessed() {
            return None;
        }
        let hold = self.estates.ask(now, self.life, estate, voter);
        if voter != self.me {
            return Some(hold);
        }
        if self.vote(now, voter, estate).is_ok() {
            let Hold { life, number, estate } = hold;
            let held = super::Held { life, number, estate, length: self.terms.tenure() };
            _ = self.estates.take(voter, &held);
        }
        None
    }

    /// Asks for estates that are due: the own one, and of the seats that are gone those that fall to this member by
    /// rendezvous among the living. `living`: the other seated members that are. To be called a few times a lease.
    pub fn holds(&mut self, now: Ms, living: &[Member], gone: &[Member]) -> Vec<(Member, Hold)> {
        let now = self.pass(now);
        let (tenure, me) = (self.terms.tenure(), self.me);
        self.estates.prune(now, tenure);
        let heir =
            |estate: Member| living.iter().copied().chain([me]).max_by_key(|m| turn(estate, *m)) == Some(me);
        let estates = gone.iter().copied().filter(|e| *e != me && heir(*e)).chain([me]);
        let mut asks = Vec::new();
        for estate in estates.collect::<Vec<_>>() {
            let left = self.tenure_of(estate).saturating_sub(now);
            if left >= tenure / 2 {
                continue;
            }
            let mut voters: Vec<Member> = living.iter().copied().chain([me]).collect();
            voters.sort_by_key(|voter| turn(estate, *voter));
            if estate == me && left > tenure / 4 {
                // One to spare, so that a lost datagram costs nothing; all of them when time runs short.
                voters.retain(|voter| *voter != me);
                voters.truncate(self.terms.needed(true) + 1);
            }
            asks.extend(voters.into_iter().filter_map(|voter| Some((voter, self.hold(now, estate, voter)?))));
        }
        asks
    }

    /// How much to ask of whom, by what is needed beyond the own share.
    pub(super) fn wants(&mut self, now: Ms, spares: &[Spare]) -> Vec<(Member, Units)> {
        let need = self.purse.need(now);
        // A quarter more than was asked for, so that what grows is seen to grow.
        let mut rest = need.saturating_add(need / 4).saturating_sub(self.own(now));
        let mut wants = Vec::new();
        let lease = self.terms.lease;
        for (lender, held) in self.held.leases(now).collect::<Vec<_>>() {
            let due = held.until.saturating_sub(now) < lease / 2;
            let keeps = held.amount.min(rest);
            rest -= keeps;
            if keeps == 0 || (due && !self.held.waits(now, lender, lease)) {
                wants.push((lender, keeps));
            }
        }
        let idle = |s: &&Spare| {
            let holds = self.held.leases(now).any(|(lender, _)| lender == s.member);
            s.units > 0 && !holds && !self.held.waits(now, s.member, lease)
        };
        let mut lenders: Vec<&Spare> = spares.iter().filter(idle).collect();
        // Those with the most first; among equals each life begins elsewhere, so that not all ask the same.
        lenders.sort_by_key(|s| (std::cmp::Reverse(s.units), s.member ^ self.life.rotate_left(32)));
        for lender in lenders.into_iter().take(ASKED_AT_ONCE) {
            let want = lender.units.min(rest);
            rest -= want;
            if want > 0 {
                wants.push((lender.member, want));
            }
        }
        wants
    }
}

/// A member's turn at an estate, the same at all members.
fn turn(estate: Member, member: Member) -> u64 {
    // A plain mix of two hashes.
    (estate.rotate_left(23) ^ member)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
