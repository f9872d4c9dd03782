//! The rules of leased budgets, checked after each action by what every living member would spend now.

use glenrail_overload::budget::{Budget, Units};

use super::{World, MEMBERS};
use crate::rules::Rule;

impl World {
    /// The members that are alive, by their numbers.
    fn living(&self) -> impl Iterator<Item = (u8, &Budget)> {
        (0..MEMBERS).filter_map(|member| Some((member, self.members[usize::from(member)].as_ref()?)))
    }

    pub(super) fn check_invariants(&mut self) {
        let sum: Units = self.living().map(|(member, budget)| budget.spendable(self.now(member))).sum();
        let total = self.terms.total;
        if sum <= total
            && self.terms.requires_witnesses()
            && (0..MEMBERS).any(|owner| self.is_held_twice(owner))
        {
            self.violated = Some(Rule::OneHolderAShare);
        } else if sum > total {
            self.violated = Some(Rule::SumWithinBudget);
        } else if self.spends_expired_lease() {
            self.violated = Some(Rule::EndedNotSpent);
        }
    }

    /// Whether a member spends more than leases that may still last allow.
    fn spends_expired_lease(&self) -> bool {
        self.living()
            .any(|(member, budget)| budget.borrowed(self.now(member)) > self.may_have_borrowed(member))
    }

    /// The most that a member may have borrowed by requests whose leases may still last.
    fn may_have_borrowed(&self, member: u8) -> Units {
        let max_from = |owner: u8| {
            let requests = self.part_requests.iter();
            let to_owner = requests.filter(|request| (request.from, request.to) == (member, owner));
            to_owner.map(|request| request.want).max()
        };
        (0..MEMBERS).filter_map(max_from).sum()
    }

    /// Whether a member holds the owner's share now.
    fn holds_share(&self, member: u8, owner: u8) -> bool {
        let budget = self.members[usize::from(member)].as_ref();
        budget.is_some_and(|budget| budget.holds_share(self.now(member), owner.into()))
    }

    /// Whether a share has two holders, or a successor while a part of it is still lent.
    fn is_held_twice(&self, owner: u8) -> bool {
        let holders: Vec<u8> = (0..MEMBERS).filter(|member| self.holds_share(*member, owner)).collect();
        let has_successor = holders.iter().any(|holder| *holder != owner);
        holders.len() > 1 || (has_successor && !self.holds_another_share(owner) && self.is_lent(owner))
    }

    /// Whether the owner has inherited another share, of which it may lend as well.
    fn holds_another_share(&self, owner: u8) -> bool {
        (0..MEMBERS).any(|other| other != owner && self.holds_share(owner, other))
    }

    /// Whether a living member has borrowed from the owner.
    fn is_lent(&self, owner: u8) -> bool {
        self.living().any(|(member, budget)| budget.borrowed_from(self.now(member), owner.into()) > 0)
    }

    /// Whether each living member would have its own share back, once nothing has happened for longer than any lender
    /// or voter waits, by any clock.
    pub(super) fn all_parts_are_back(&self) -> bool {
        let quiet_time = 2 * self.terms.drift_safe_wait(self.terms.vote_duration());
        // Without anybody's agreement, what needs a witness has no holder.
        let own_part = if self.terms.requires_witnesses() { 0 } else { self.terms.own_share() };
        self.living().all(|(member, budget)| budget.spendable(self.now(member) + quiet_time) == own_part)
    }
}
