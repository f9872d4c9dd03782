//! Bodies of the messages between members, before sealing, and their bounds in bytes. A body begins with its
//! variant's index: new variants go to the end. Plain data without state or clock.

use serde::{Deserialize, Serialize};

use crate::seal::SEAL_OVERHEAD_BYTES;
use crate::table::{Cell, Digest};
use crate::{Member, MemberId};

/// Longest datagram, seal included: short enough to pass any path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Longest frame of an exchange, seal included, without the four bytes of its length.
pub const MAX_FRAME_BYTES: usize = 32 * 1024;
/// Longest body of a datagram.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - SEAL_OVERHEAD_BYTES;
/// Longest packet of the membership library: the body's index and the packet's length precede it.
pub(crate) const MAX_SWIM_PACKET_BYTES: usize = MAX_BODY_BYTES - 4;

/// The body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Greeting to a seed's address: asks whoever listens there to announce itself to this member.
    Hello(Member),
    /// A packet of the membership library.
    Swim(Vec<u8>),
    /// Cells, by gossip or because the recipient lacks them.
    Cells(Vec<Cell>),
    /// Digests of all origins within `from..=to` of which the sender has cells.
    Digests { from: MemberId, to: MemberId, digests: Vec<Digest> },
    /// Request for cells: digests of the origins of which the sender lacks some.
    Request(Vec<Digest>),
    /// The requested cells do not fit into datagrams: an exchange over a stream is needed.
    ExchangeNeeded,
    /// First frame of an exchange: the opener's digests.
    ExchangeOpen(Vec<Digest>),
    /// Last frame of a side. The acceptor's has its digests, from which the opener sees what it lacks.
    ExchangeDone(Vec<Digest>),
}

impl Body {
    /// Serialized body. Cannot fail: all lengths are known and the buffer grows.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Parses a body; `None` also if bytes are left over.
    pub(crate) fn parse(bytes: &[u8]) -> Option<Body> {
        match postcard::take_from_bytes(bytes) {
            Ok((body, [])) => Some(body),
            _ => None,
        }
    }
}

/// Serialized size of a cell within [`Body::Cells`].
pub(crate) fn cell_bytes(cell: &Cell) -> usize {
    postcard::experimental::serialized_size(cell).unwrap_or(usize::MAX)
}

/// Splits `cells`, in order, into pages that fit into bodies of `body_bytes`. Also the number of cells that are left
/// out as they fit into none.
pub(crate) fn paginate(cells: Vec<Cell>, body_bytes: usize) -> (Vec<Vec<Cell>>, usize) {
    let (mut pages, mut oversized, mut used) = (Vec::new(), 0, usize::MAX);
    for cell in cells {
        let size = cell_bytes(&cell);
        if size > body_bytes - CELLS_HEADER_BYTES {
            oversized += 1;
            continue;
        }
        if used.saturating_add(size) > body_bytes {
            pages.push(Vec::new());
            used = CELLS_HEADER_BYTES;
        }
        used += size;
        if let Some(page) = pages.last_mut() {
            page.push(cell);
        }
    }
    (pages, oversized)
}

/// Bytes before the cells of a body: its index, and the count of cells.
pub(crate) const CELLS_HEADER_BYTES: usize = 1 + 3;

/// Most digests in one datagram.
pub(crate) const MAX_DIGESTS_PER_DATAGRAM: usize =
    (MAX_BODY_BYTES - CELLS_HEADER_BYTES - 16) / MAX_DIGEST_BYTES;
/// Longest digest: origin and hash of fixed size, the rest as varints at their longest.
const MAX_DIGEST_BYTES: usize = 8 + 10 + 5 + 10 + 1 + 8;

#[cfg(test)]
mod tests;
