//! Digests of the table for anti-entropy: what a member holds of an origin, and which of two members lacks cells. Plain
//! data; needs no clock.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use super::origin::Origin;
use crate::{Incarnation, MemberId};

/// What a member holds of one origin, in about 26 bytes. Serialized in this order of fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The origin.
    pub origin: MemberId,
    /// Its newest incarnation that is known.
    pub incarnation: Incarnation,
    /// Number of its cells, tombstones included.
    pub cells: u32,
    /// Highest version among them.
    pub newest_version: u64,
    /// A bound was reached and the lowest versions were dropped: only versions above `newest_version` are of use.
    pub truncated: bool,
    /// Exclusive or of the hashes of the cells.
    #[serde(with = "postcard::fixint::le")]
    pub hash: u64,
}

/// Digest of the cells held of one origin.
pub(super) fn of((id, origin): (&MemberId, &Origin)) -> Digest {
    Digest {
        origin: *id,
        incarnation: origin.incarnation,
        cells: origin.len() as u32,
        newest_version: origin.newest_version(),
        truncated: origin.bound_reached,
        hash: origin.hash,
    }
}

/// What two members have to send each other about one origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reconciliation {
    /// The other member lacks cells of versions above this one.
    pub send_above: Option<u64>,
    /// This member lacks cells that the other has.
    pub request: bool,
}

/// Compares the digests of two members about one origin. A later incarnation replaces all of an earlier one. Within
/// an incarnation, members with the same highest version or a different number of cells may lack any cell, so all
/// are sent; otherwise, and where a bound was reached, only the versions above the other's highest.
pub fn compare(mine: Option<&Digest>, theirs: Option<&Digest>) -> Reconciliation {
    let everything = Some(0);
    match (mine, theirs) {
        (None, None) => Reconciliation { send_above: None, request: false },
        (Some(_), None) => Reconciliation { send_above: everything, request: false },
        (None, Some(_)) => Reconciliation { send_above: None, request: true },
        (Some(mine), Some(theirs)) if mine.incarnation != theirs.incarnation => {
            let later = mine.incarnation > theirs.incarnation;
            Reconciliation { send_above: later.then_some(0), request: !later }
        }
        (Some(mine), Some(theirs)) if mine.hash == theirs.hash && mine.cells == theirs.cells => {
            Reconciliation { send_above: None, request: false }
        }
        (Some(mine), Some(theirs)) if mine.truncated || theirs.truncated || mine.cells == theirs.cells => {
            match mine.newest_version.cmp(&theirs.newest_version) {
                Ordering::Greater => {
                    Reconciliation { send_above: Some(theirs.newest_version), request: false }
                }
                Ordering::Less => Reconciliation { send_above: None, request: true },
                Ordering::Equal if mine.truncated || theirs.truncated => {
                    Reconciliation { send_above: None, request: false }
                }
                Ordering::Equal => Reconciliation { send_above: everything, request: true },
            }
        }
        (Some(mine), Some(theirs)) => {
            Reconciliation { send_above: (mine.cells > 0).then_some(0), request: theirs.cells > 0 }
        }
    }
}
