//! Fresh cells on their way: each told a number of times that grows with the logarithm of the fleet, the least told
//! first. Hearing one again counts as having told it, so that telling ends sooner where all know already.

use std::collections::{BTreeMap, BTreeSet};

use crate::table::Place;

/// Cells by place: only the newest version of a cell is ever on its way, so that the table's bounds bound this too.
#[derive(Default)]
pub(crate) struct Fresh {
    /// How often each was told or heard again.
    told: BTreeMap<Place, u32>,
    /// The same, the least told first.
    order: BTreeSet<(u32, Place)>,
}

/// How often a cell is told in a fleet of `members`: the logarithm to base two, rounded up, and one.
pub(crate) fn tellings(members: usize) -> u32 {
    usize::BITS - members.leading_zeros() + 1
}

impl Fresh {
    /// A newer version starts anew.
    pub(crate) fn add(&mut self, place: Place) {
        self.drop(&place);
        self.order.insert((0, place.clone()));
        self.told.insert(place, 0);
    }

    /// It was told to someone, or came in again.
    pub(crate) fn told(&mut self, place: &Place, members: usize) {
        let Some(told) = self.told.get(place).map(|told| told + 1) else { return };
        self.drop(place);
        if told < tellings(members) {
            self.order.insert((told, place.clone()));
            self.told.insert(place.clone(), told);
        }
    }

    pub(crate) fn drop(&mut self, place: &Place) {
        if let Some(told) = self.told.remove(place) {
            self.order.remove(&(told, place.clone()));
        }
    }

    /// Drops those that `held` does not hold for.
    pub(crate) fn retain(&mut self, held: impl Fn(&Place) -> bool) {
        self.told.retain(|place, _| held(place));
        self.order.retain(|(_, place)| held(place));
    }

    /// The least told first.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = &Place> {
        self.order.iter().map(|(_, place)| place)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.told.is_empty()
    }
}

#[cfg(test)]
mod tests;
