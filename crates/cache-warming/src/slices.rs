//! Division of a node's keys into slices, so that ownership can move one slice at a time.

use crate::rendezvous::mix;
use crate::types::PromptPrefix;

/// Returns the slice, out of `count`, that a prefix belongs to; all members derive the same one. Like the
/// order of servers, it depends only on the key of the prefix.
pub fn slice(prefix: &PromptPrefix, count: u16) -> u16 {
    // Mixed again, so that the keys which the server order assigns to one node still spread over all slices.
    (mix(!prefix.key) % u64::from(count.max(1))) as u16
}
