//! Bodies of the messages between members, before sealing, and their maximum lengths. Plain data. A serialized body
//! starts with the index of its variant, so new variants must be appended.

use serde::{Deserialize, Serialize};

use crate::seal::SEAL_OVERHEAD_BYTES;
use crate::table::{Cell, Digest};
use crate::{Member, MemberId};

/// Maximum length of a datagram including the seal, short enough to avoid fragmentation on common paths.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum length of a frame of an exchange, including the seal but not the four bytes of its length.
pub const MAX_FRAME_BYTES: usize = 32 * 1024;
/// Maximum length of the body of a datagram.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - SEAL_OVERHEAD_BYTES;
/// Maximum length of a packet of the membership library, which the body's index and the packet's length precede.
pub(crate) const MAX_SWIM_PACKET_BYTES: usize = MAX_BODY_BYTES - 4;

/// The body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Sent to a seed's address: requests the member that receives it there to announce itself to the sender.
    Hello(Member),
    /// A packet of the membership library.
    Swim(Vec<u8>),
    /// Cells, sent by gossip or because the recipient lacks them.
    Cells(Vec<Cell>),
    /// Digests of all origins within `from..=to` of which the sender has cells.
    Digests { from: MemberId, to: MemberId, digests: Vec<Digest> },
    /// Request for cells: the sender's digests of the origins of which it lacks cells.
    Request(Vec<Digest>),
    /// Requests the recipient to open an exchange over a stream, as the cells that it lacks do not fit into datagrams.
    ExchangeNeeded,
    /// First frame of an exchange: the opener's digests.
    ExchangeOpen(Vec<Digest>),
    /// Last frame of each side. The acceptor's contains its digests, from which the opener derives the cells that the
    /// acceptor lacks.
    ExchangeDone(Vec<Digest>),
}

impl Body {
    /// Serializes the body. This cannot fail, as all lengths are known and the buffer grows.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Parses a body; `None` if it is malformed or followed by other bytes.
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

/// Splits `cells`, in order, into pages that fit into bodies of `body_bytes`. Also returns the number of cells that
/// were omitted because they do not fit into any body.
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

/// Maximum length of what precedes the cells in a body: the body's index and the number of cells.
pub(crate) const CELLS_HEADER_BYTES: usize = 1 + 3;

/// Maximum number of digests in one datagram.
pub(crate) const MAX_DIGESTS_PER_DATAGRAM: usize =
    (MAX_BODY_BYTES - CELLS_HEADER_BYTES - 16) / MAX_DIGEST_BYTES;
/// Maximum length of a digest: origin and hash have fixed lengths, the other fields are varints of maximum length.
const MAX_DIGEST_BYTES: usize = 8 + 10 + 5 + 10 + 1 + 8;

#[cfg(test)]
mod tests;
