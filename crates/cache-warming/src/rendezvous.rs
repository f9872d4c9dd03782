//! Rendezvous hashing over members: all members derive the same order from the same names, and the loss of
//! one member moves only what was assigned to it.

use crate::types::{Member, Node, PromptPrefix};

/// Mixes 64 bits with the finalizer of SplitMix64 (Steele et al. 2014). It is written out here because the
/// order must be the same in all builds.
pub fn mix(value: u64) -> u64 {
    let a = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let b = (a ^ (a >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let c = (b ^ (b >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    c ^ (c >> 31)
}

/// Returns a member's rendezvous score for a prefill. The highest score is first in the order.
pub fn score(member: Member, node: Node, prefix: &PromptPrefix) -> u64 {
    let parts = [member.0, node.0, prefix.team.0, prefix.model.0, prefix.key];
    parts.into_iter().fold(0, |h, part| mix(h ^ part))
}
