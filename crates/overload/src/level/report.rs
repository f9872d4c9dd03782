//! What a member tells.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{budget::Units, Life, Ms, PerMille, WHOLE};

/// Most that a word has room for, so that the largest goes into one datagram.
const MOST_CLASSES: usize = 20;
const MOST_BANDS: usize = 48;
const MOST_ROLES: usize = 8;
const MOST_BUDGETS: usize = 8;

/// Counts of one class in a member's last seconds, each in thousandths a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Class {
    /// The class, by its place in the settings.
    pub class: u8,
    /// Requests that clients sent.
    pub arrived: u32,
    /// Those of them that a client marked as another try.
    pub marked: u32,
    /// Those that were turned away.
    pub refused: u32,
    /// Requests that got their first attempt.
    pub first: u32,
    /// All attempts, the first ones among them.
    pub attempts: u32,
}

/// How long requests wait in the queues of a role's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleWait {
    pub role: u8,
    pub wait: Ms,
    /// What is aimed at.
    pub aim: Ms,
}

impl RoleWait {
    /// The wait in thousandths of its aim.
    pub fn pressure(&self) -> PerMille {
        let part = self.wait.saturating_mul(u64::from(WHOLE)) / self.aim.max(1);
        u32::try_from(part).unwrap_or(u32::MAX)
    }
}

/// A member's own facts, told anew a few times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Word {
    pub life: Life,
    /// Grows with each word of a life.
    pub number: u64,
    /// What this member would have the fleet turn away.
    pub wish: PerMille,
    /// The greatest of its roles' waits, in thousandths of their aims.
    pub pressure: PerMille,
    pub waits: Vec<RoleWait>,
    pub classes: Vec<Class>,
    /// Work that arrives a second by band of the order, each band once.
    pub bands: Vec<(u8, u32)>,
    /// Attempts a second of the whole fleet, in thousandths, by the engines' own reports; none where they do not tell.
    pub seen: Option<u32>,
    /// What it would lend, by budget.
    pub spare: Vec<Units>,
}

/// Why a word is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WordError {
    #[error("a member's word names {found} {what}, and {most} are the most")]
    TooMany { what: &'static str, found: usize, most: usize },
    #[error("a member's word would have {wish} thousandths of the work turned away")]
    WishAboveWhole { wish: PerMille },
    #[error("a member's word names the class {class} twice")]
    ClassTwice { class: u8 },
}

impl WordError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            WordError::TooMany { .. } => "Give all gateways the same settings, with no more than that.",
            WordError::WishAboveWhole { .. } | WordError::ClassTwice { .. } => {
                "The member is not a build of this program, or its key is in other hands: take it out and change the key."
            }
        }
    }
}

impl Word {
    /// Whether it can be a word at all; to be asked of whatever is decoded.
    pub fn check(&self) -> Result<(), WordError> {
        let counts = [
            ("classes", self.classes.len(), MOST_CLASSES),
            ("bands", self.bands.len(), MOST_BANDS),
            ("roles", self.waits.len(), MOST_ROLES),
            ("budgets", self.spare.len(), MOST_BUDGETS),
        ];
        if let Some((what, found, most)) = counts.into_iter().find(|(_, found, most)| found > most) {
            return Err(WordError::TooMany { what, found, most });
        }
        if self.wish > WHOLE {
            return Err(WordError::WishAboveWhole { wish: self.wish });
        }
        let mut known = [false; 256];
        for Class { class, .. } in &self.classes {
            if std::mem::replace(&mut known[usize::from(*class)], true) {
                return Err(WordError::ClassTwice { class: *class });
            }
        }
        Ok(())
    }

    /// Attempts a second, in thousandths: what others can see of a member's traffic, as engines take it.
    pub fn traffic(&self) -> u64 {
        self.classes.iter().map(|c| u64::from(c.attempts)).sum()
    }
}
