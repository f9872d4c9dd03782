//! One cell of the table as it travels.

use serde::{Deserialize, Serialize};

use crate::{Life, MemberId};

/// Ages travel in tenths of a second, rounded up: rounding makes older, never younger.
const AGE_UNIT: u64 = 100;

/// Where a cell is. A kind belongs to the part that puts it; one that this build does not know is carried on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    pub origin: MemberId,
    pub kind: u16,
    pub key: Vec<u8>,
}

/// A cell: what `origin` says in its life `life`, for the `version`th time that it said anything.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    pub place: Place,
    pub life: Life,
    pub version: u64,
    /// Since its origin told it, in units of 100 ms, without the time on the way.
    age: u32,
    /// `None`: taken back.
    pub value: Option<Vec<u8>>,
}

impl Cell {
    /// `age` in milliseconds.
    pub fn new(place: Place, life: Life, version: u64, age: u64, value: Option<Vec<u8>>) -> Cell {
        let age = u32::try_from(age.div_ceil(AGE_UNIT)).unwrap_or(u32::MAX);
        Cell { place, life, version, age, value }
    }

    /// Milliseconds.
    pub fn age(&self) -> u64 {
        u64::from(self.age) * AGE_UNIT
    }

    pub(crate) fn age_at_least(&self, age: u64) -> bool {
        self.age() >= age
    }

    /// What it weighs under the bounds: its text and what holding it costs.
    pub fn weight(&self) -> usize {
        weight(&self.place.key, self.value.as_deref())
    }
}

pub(super) fn weight(key: &[u8], value: Option<&[u8]>) -> usize {
    64 + key.len() + value.map_or(0, <[u8]>::len)
}
