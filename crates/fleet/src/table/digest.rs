//! What one member says of what it holds, and who lacks what.

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
    #[serde(with = "postcard::fixint::le")]
    pub hash: u64,
}

pub(super) fn of((id, origin): (&MemberId, &Origin)) -> Digest {
    Digest {
        origin: *id,
        life: origin.life,
        cells: origin.len() as u32,
        newest: origin.newest(),
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
/// number of cells something in between may be missing, so all is sent; else only what is above.
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
        (Some(mine), Some(theirs)) if mine.cells == theirs.cells && mine.newest != theirs.newest => {
            let ahead = mine.newest > theirs.newest;
            Need { send_above: ahead.then_some(theirs.newest), ask: !ahead }
        }
        (Some(mine), Some(theirs)) => {
            Need { send_above: (mine.cells > 0).then_some(0), ask: theirs.cells > 0 }
        }
    }
}
