//! Digests of the table for anti-entropy: summaries of the cells of an origin, whose comparison shows which of two
//! members lacks cells. Plain data.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use super::origin::Origin;
use crate::{Incarnation, MemberId};

/// Summary of the cells that a member stores of one origin, in about 26 bytes. Serialized in this order of fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The member that wrote the cells.
    pub origin: MemberId,
    /// Newest known incarnation of the origin.
    pub incarnation: Incarnation,
    /// Number of cells, tombstones included.
    pub cells: u32,
    /// Highest version among the cells; 0 without cells.
    pub newest_version: u64,
    /// Whether the lowest versions were dropped at a bound. Two members then exchange only versions above the
    /// lower one of their `newest_version`s.
    pub truncated: bool,
    /// XOR of the hashes of the cells.
    #[serde(with = "postcard::fixint::le")]
    pub hash: u64,
}

/// Returns the digest of the stored cells of one origin.
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

/// Which cells of one origin two members have to exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reconciliation {
    /// The remote member may lack cells with versions above this one; `None` if it lacks none.
    pub send_above_version: Option<u64>,
    /// Whether the local member may lack cells that the remote member has.
    pub request: bool,
}

/// Compares the digests of two members for one origin; `None` is a member without cells of that origin.
///
/// A later incarnation replaces all cells of an earlier one. Within an incarnation:
///
/// - Members with equal hashes and numbers of cells have nothing to exchange.
/// - If the cells of either member are truncated, only versions above the other's highest one are sent.
/// - Otherwise, with equal numbers of cells, only versions above the other's highest one are sent, or all cells if the
///   highest versions are equal too.
/// - With different numbers of cells, any cell may be missing, so all are sent.
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
