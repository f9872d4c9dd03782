//! Order in which members are contacted: a random permutation that is drawn anew once it is used up. As random as
//! independent choices, but each member is contacted once in every pass. Owned by [`super::Fleet`].

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::Member;

/// Members that are still to be contacted in this pass, the last one next.
#[derive(Default)]
pub(super) struct Cycle {
    remaining: Vec<Member>,
}

impl Cycle {
    /// The next members of `active`, at most `count`, none twice.
    pub(super) fn next(&mut self, count: usize, active: &[Member], rng: &mut StdRng) -> Vec<Member> {
        let mut picked: Vec<Member> = Vec::new();
        for _ in 0..2 {
            while picked.len() < count.min(active.len()) {
                let Some(member) = self.remaining.pop() else { break };
                // Members that failed since, or have another incarnation, are skipped.
                if active.contains(&member) && !picked.contains(&member) {
                    picked.push(member);
                }
            }
            if self.remaining.is_empty() {
                self.remaining = active.to_vec();
                self.remaining.shuffle(rng);
            }
        }
        picked
    }
}

#[cfg(test)]
mod tests;
