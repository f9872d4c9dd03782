//! Whom a member asks for how much. Nothing here bears on the safety of the budget, only on how well it is used.

use super::{Budget, Units};
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
