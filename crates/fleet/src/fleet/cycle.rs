//! Members one after another, in an order shuffled anew each time round: as random as picking, but each is met once
//! in every round of all.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::Member;

#[derive(Default)]
pub(super) struct Cycle {
    remaining: Vec<Member>,
}

impl Cycle {
    /// Up to `most` of `active`, none twice.
    pub(super) fn next(&mut self, most: usize, active: &[Member], random: &mut StdRng) -> Vec<Member> {
        let mut picked: Vec<Member> = Vec::new();
        for _ in 0..2 {
            while picked.len() < most.min(active.len()) {
                let Some(member) = self.remaining.pop() else { break };
                // Those that are gone since, or live another life, are passed over.
                if active.contains(&member) && !picked.contains(&member) {
                    picked.push(member);
                }
            }
            if self.remaining.is_empty() {
                self.remaining = active.to_vec();
                self.remaining.shuffle(random);
            }
        }
        picked
    }
}

#[cfg(test)]
mod tests;
