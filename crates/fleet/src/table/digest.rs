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
pub(super) fn of_origin((id, origin): (&MemberId, &Origin)) -> Digest {
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
    pub send_above_version: Option<u64>,
    /// This member lacks cells that the other has.
    pub request: bool,
}

/// Compares the digests of two members about one origin. A later incarnation replaces all of an earlier one. Within
/// an incarnation, members with the same highest version or a different number of cells may lack any cell, so all
/// are sent; otherwise, and where a bound was reached, only the versions above the other's highest.
pub fn compare(local: Option<&Digest>, remote: Option<&Digest>) -> Reconciliation {
    let everything = Some(0);
    match (local, remote) {
        (None, None) => Reconciliation { send_above_version: None, request: false },
        (Some(_), None) => Reconciliation { send_above_version: everything, request: false },
        (None, Some(_)) => Reconciliation { send_above_version: None, request: true },
        (Some(local), Some(remote)) if local.incarnation != remote.incarnation => {
            let later = local.incarnation > remote.incarnation;
            Reconciliation { send_above_version: later.then_some(0), request: !later }
        }
        (Some(local), Some(remote)) if local.hash == remote.hash && local.cells == remote.cells => {
            Reconciliation { send_above_version: None, request: false }
        }
        (Some(local), Some(remote)) if local.truncated || remote.truncated || local.cells == remote.cells => {
            match local.newest_version.cmp(&remote.newest_version) {
                Ordering::Greater => {
                    Reconciliation { send_above_version: Some(remote.newest_version), request: false }
                }
                Ordering::Less => Reconciliation { send_above_version: None, request: true },
                Ordering::Equal if local.truncated || remote.truncated => {
                    Reconciliation { send_above_version: None, request: false }
                }
                Ordering::Equal => Reconciliation { send_above_version: everything, request: true },
            }
        }
        (Some(local), Some(remote)) => {
            Reconciliation { send_above_version: (local.cells > 0).then_some(0), request: remote.cells > 0 }
        }
    }
}
