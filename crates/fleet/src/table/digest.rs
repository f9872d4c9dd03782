//! What one member says of what it holds, and who lacks what.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use super::origin::Origin;
use crate::{Life, MemberId};

/// What is held of one origin, in about 26 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    pub origin: MemberId,
    pub life: Life,
    pub cells: u32,
    /// Highest version held.
    pub newest: u64,
    /// A bound was met, and the lowest versions were dropped: only what is newer than all is of use.
    pub full: bool,
    #[serde(with = "postcard::fixint::le")]
    pub hash: u64,
}

pub(super) fn of((id, origin): (&MemberId, &Origin)) -> Digest {
    Digest {
        origin: *id,
        life: origin.life,
        cells: origin.len() as u32,
        newest: origin.newest(),
        full: origin.over,
        hash: origin.hash,
    }
}

/// What two members that hold `mine` and `theirs` of one origin owe each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// They lack cells with versions above this.
    pub send_above: Option<u64>,
    /// They hold what is lacking here.
    pub ask: bool,
}

/// A later life makes all of an earlier one worthless. Within a life: with the same highest version or another
/// number of cells something in between may be missing, so all is sent; else, and where a bound was met, only what
/// is above.
pub fn compare(mine: Option<&Digest>, theirs: Option<&Digest>) -> Need {
    let whole = Some(0);
    match (mine, theirs) {
        (None, None) => Need { send_above: None, ask: false },
        (Some(_), None) => Need { send_above: whole, ask: false },
        (None, Some(_)) => Need { send_above: None, ask: true },
        (Some(mine), Some(theirs)) if mine.life != theirs.life => {
            let later = mine.life > theirs.life;
            Need { send_above: later.then_some(0), ask: !later }
        }
        (Some(mine), Some(theirs)) if mine.hash == theirs.hash && mine.cells == theirs.cells => {
            Need { send_above: None, ask: false }
        }
        (Some(mine), Some(theirs)) if mine.full || theirs.full || mine.cells == theirs.cells => {
            match mine.newest.cmp(&theirs.newest) {
                Ordering::Greater => Need { send_above: Some(theirs.newest), ask: false },
                Ordering::Less => Need { send_above: None, ask: true },
                Ordering::Equal if mine.full || theirs.full => Need { send_above: None, ask: false },
                Ordering::Equal => Need { send_above: whole, ask: true },
            }
        }
        (Some(mine), Some(theirs)) => {
            Need { send_above: (mine.cells > 0).then_some(0), ask: theirs.cells > 0 }
        }
    }
}
