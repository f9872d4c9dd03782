//! What members say to each other, once sealed. Numbered by place: new ones go to the end.

use serde::{Deserialize, Serialize};

use crate::seal::OVERHEAD;
use crate::table::{Cell, Digest};
use crate::{Member, MemberId};

/// No datagram is longer, sealing included: it crosses any path without being cut up.
pub const DATAGRAM_MOST: usize = 1_200;
/// No frame of an exchange is longer, sealing included and its length of four bytes left out.
pub const FRAME_MOST: usize = 32 * 1024;
/// Room for a body in a datagram.
pub const BODY_MOST: usize = DATAGRAM_MOST - OVERHEAD;
/// Room for the library's own packet: the body's number and the packet's length come before it.
pub(crate) const SWIM_MOST: usize = BODY_MOST - 4;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// To whoever listens at a seed's address: "announce yourself to me".
    Hello(Member),
    /// A packet of the membership library.
    Swim(Vec<u8>),
    /// Cells, fresh or lacking.
    Cells(Vec<Cell>),
    /// All that the sender holds of origins within `from..=to`.
    Digests { from: MemberId, to: MemberId, digests: Vec<Digest> },
    /// What the sender holds of origins of which it lacks something.
    Want(Vec<Digest>),
    /// What was wanted does not fit into datagrams: ask for it over a stream.
    Whole,
    /// First frame of an exchange: all that the opener holds.
    Open(Vec<Digest>),
    /// Last frame of a side. The acceptor says what it holds, so that the opener can send what it lacks.
    Done(Vec<Digest>),
}

impl Body {
    /// Cannot fail: all lengths are known and the output grows.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Bytes left over are as bad as bytes that lack.
    pub(crate) fn read(bytes: &[u8]) -> Option<Body> {
        match postcard::take_from_bytes(bytes) {
            Ok((body, [])) => Some(body),
            _ => None,
        }
    }
}

/// Bytes of a cell within [`Body::Cells`].
pub(crate) fn cell_bytes(cell: &Cell) -> usize {
    postcard::experimental::serialized_size(cell).unwrap_or(usize::MAX)
}

/// Cuts `cells` into groups that fit into bodies of `room` bytes, in order. Cells that fit into none are left out
/// and counted.
pub(crate) fn pages(cells: Vec<Cell>, room: usize) -> (Vec<Vec<Cell>>, usize) {
    let (mut pages, mut left_out, mut used) = (Vec::new(), 0, usize::MAX);
    for cell in cells {
        let size = cell_bytes(&cell);
        if size > room - HEAD {
            left_out += 1;
            continue;
        }
        if used.saturating_add(size) > room {
            pages.push(Vec::new());
            used = HEAD;
        }
        used += size;
        if let Some(page) = pages.last_mut() {
            page.push(cell);
        }
    }
    (pages, left_out)
}

/// The body's number and the count of cells.
pub(crate) const HEAD: usize = 1 + 3;

/// Digests for one datagram: of at most this many origins.
pub(crate) const DIGESTS_A_PAGE: usize = (BODY_MOST - HEAD - 16) / DIGEST_MOST;
/// Origin and hash as they are, life, number of cells and version as varints at their longest.
const DIGEST_MOST: usize = 8 + 10 + 5 + 10 + 1 + 8;

#[cfg(test)]
mod tests;
