//! Shuffled round-robin order in which members are contacted: a random permutation that is reshuffled after each pass.
//! Unlike independent random choices, it contacts each member once in every pass. Owned by [`super::Fleet`].

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::Member;

/// Members that are still to be contacted in this pass. The last element is the next one.
#[derive(Default)]
pub(super) struct Cycle {
    remaining: Vec<Member>,
}

impl Cycle {
    /// Returns the next members of `active`: at most `count`, each at most once.
    pub(super) fn next(&mut self, count: usize, active: &[Member], rng: &mut StdRng) -> Vec<Member> {
        let mut picked: Vec<Member> = Vec::new();
        for _ in 0..2 {
            while picked.len() < count.min(active.len()) {
                let Some(member) = self.remaining.pop() else { break };
                // Skips members that failed since the shuffle or changed their identity.
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
