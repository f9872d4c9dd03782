//! A node's keys in slices, so that its ownership can move piece by piece.

use crate::rendezvous::mix;
use crate::terms::Beginning;

/// The slice that a beginning lies in, of so many; the same at all members. By its prefix alone, as the order of servers is.
pub fn slice(beginning: &Beginning, count: u16) -> u16 {
    // Mixed anew, so that what the order has put on one node still spreads over all slices.
    (mix(!beginning.prefix) % u64::from(count.max(1))) as u16
}
