//! What a member tells.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{budget::Units, Incarnation, Ms, PerMille, PER_MILLE_SCALE};

/// Most that a word has room for, so that the largest goes into one datagram.
const MAX_CLASSES: usize = 20;
const MAX_BANDS: usize = 48;
const MAX_ROLES: usize = 8;
const MAX_BUDGETS: usize = 8;

/// Counts of one class in a member's last seconds, each in thousandths a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassRates {
    /// The class, by its place in the settings.
    pub class: u8,
    /// Requests that clients sent.
    pub arrivals: u32,
    /// Those of them that a client marked as another try.
    pub marked_retries: u32,
    /// Those that were turned away.
    pub rejected: u32,
    /// Requests that got their first attempt.
    pub first_attempts: u32,
    /// All attempts, the first ones among them.
    pub attempts: u32,
}

/// How long requests wait in the queues of a role's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleQueueWait {
    pub role: u8,
    pub wait: Ms,
    /// What is aimed at.
    pub target: Ms,
}

impl RoleQueueWait {
    /// The wait in thousandths of its aim.
    pub fn pressure(&self) -> PerMille {
        let pressure = self.wait.saturating_mul(u64::from(PER_MILLE_SCALE)) / self.target.max(1);
        u32::try_from(pressure).unwrap_or(u32::MAX)
    }
}

/// A member's own facts, told anew a few times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberReport {
    pub incarnation: Incarnation,
    /// Grows with each word of a life.
    pub sequence: u64,
    /// What this member would have the fleet turn away.
    pub desired_level: PerMille,
    /// The greatest of its roles' waits, in thousandths of their aims.
    pub pressure: PerMille,
    pub queue_waits: Vec<RoleQueueWait>,
    pub classes: Vec<ClassRates>,
    /// Work that arrives a second by band of the order, each band once.
    pub work_by_band: Vec<(u8, u32)>,
    /// Attempts a second of the whole fleet, in thousandths, by the engines' own reports; none where they do not tell.
    pub observed_fleet_attempts: Option<u32>,
    /// What it would lend, by budget.
    pub spare_units: Vec<Units>,
}

/// Why a word is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReportError {
    #[error("a member's word names {found} {what}, and {max} are the most")]
    TooMany { what: &'static str, found: usize, max: usize },
    #[error("a member's word would have {desired_level} thousandths of the work turned away")]
    LevelOutOfRange { desired_level: PerMille },
    #[error("a member's word names the class {class} twice")]
    DuplicateClass { class: u8 },
}

impl ReportError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            ReportError::TooMany { .. } => "Give all gateways the same settings, with no more than that.",
            ReportError::LevelOutOfRange { .. } | ReportError::DuplicateClass { .. } => {
                "The member is not a build of this program, or its key is in other hands: take it out and change the key."
            }
        }
    }
}

impl MemberReport {
    /// Whether it can be a word at all; to be asked of whatever is decoded.
    pub fn check(&self) -> Result<(), ReportError> {
        let counts = [
            ("classes", self.classes.len(), MAX_CLASSES),
            ("bands", self.work_by_band.len(), MAX_BANDS),
            ("roles", self.queue_waits.len(), MAX_ROLES),
            ("budgets", self.spare_units.len(), MAX_BUDGETS),
        ];
        if let Some((what, found, max)) = counts.into_iter().find(|(_, found, max)| found > max) {
            return Err(ReportError::TooMany { what, found, max });
        }
        if self.desired_level > PER_MILLE_SCALE {
            return Err(ReportError::LevelOutOfRange { desired_level: self.desired_level });
        }
        let mut listed = [false; 256];
        for ClassRates { class, .. } in &self.classes {
            if std::mem::replace(&mut listed[usize::from(*class)], true) {
                return Err(ReportError::DuplicateClass { class: *class });
            }
        }
        Ok(())
    }

    /// Attempts a second, in thousandths: what others can see of a member's traffic, as engines take it.
    pub fn total_attempts(&self) -> u64 {
        self.classes.iter().map(|c| u64::from(c.attempts)).sum()
    }
}
