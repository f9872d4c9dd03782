//! Report that each member sends to the others.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{budget::Units, Incarnation, Ms, PerMille, PER_MILLE_SCALE};

/// Maximum numbers of entries in a report, so that the largest one fits into a datagram.
const MAX_CLASSES: usize = 20;
const MAX_BANDS: usize = 48;
const MAX_ROLES: usize = 8;
const MAX_BUDGETS: usize = 8;

/// Rates of one request class over a member's last seconds, in thousandths per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassRates {
    /// Index of the class in the settings.
    pub class: u8,
    /// Requests from clients, rejected ones included.
    pub arrivals: u32,
    /// Arrivals that the client marked as retries.
    pub marked_retries: u32,
    /// Arrivals that were rejected.
    pub rejected: u32,
    /// First attempts of requests at engines.
    pub first_attempts: u32,
    /// All attempts at engines, first ones included.
    pub attempts: u32,
}

/// Time that requests wait in the queues of a role's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleQueueWait {
    pub role: u8,
    pub wait: Ms,
    /// Wait that the settings aim at.
    pub target: Ms,
}

impl RoleQueueWait {
    /// Returns the wait in thousandths of its target.
    pub fn pressure(&self) -> PerMille {
        let pressure = self.wait.saturating_mul(u64::from(PER_MILLE_SCALE)) / self.target.max(1);
        u32::try_from(pressure).unwrap_or(u32::MAX)
    }
}

/// Measurements and state of a member, sent a few times per second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberReport {
    pub incarnation: Incarnation,
    /// Grows with each report of an incarnation.
    pub sequence: u64,
    /// Share of the work that the fleet should shed in the view of this member.
    pub desired_level: PerMille,
    /// Largest of its roles' queue waits, in thousandths of their targets.
    pub pressure: PerMille,
    pub queue_waits: Vec<RoleQueueWait>,
    pub classes: Vec<ClassRates>,
    /// Work that arrives per second by priority band; each band occurs once.
    pub work_by_band: Vec<(u8, u32)>,
    /// Attempts per second of the whole fleet, in thousandths, by the engines' reports; `None` if they send
    /// none.
    pub observed_fleet_attempts: Option<u32>,
    /// Units that the member would lend, by budget.
    pub spare_units: Vec<Units>,
}

/// Reason why a report is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReportError {
    #[error("a member report has {found} {what}, but the maximum is {max}")]
    TooMany { what: &'static str, found: usize, max: usize },
    #[error("a member report has a desired level of {desired_level} thousandths, but the maximum is 1000")]
    LevelOutOfRange { desired_level: PerMille },
    #[error("a member report contains class {class} twice")]
    DuplicateClass { class: u8 },
}

impl ReportError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            ReportError::TooMany { .. } => "Give all gateways the same settings, within that maximum.",
            ReportError::LevelOutOfRange { .. } | ReportError::DuplicateClass { .. } => {
                "The member runs another program or its key has leaked: remove it and change the key."
            }
        }
    }
}

impl MemberReport {
    /// Checks the numbers of entries, the desired level, and that no class occurs twice. Callers check every
    /// report that they decode.
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

    /// Returns the member's attempts per second in thousandths: the part of its traffic that others can
    /// observe at the engines.
    pub fn total_attempts(&self) -> u64 {
        self.classes.iter().map(|c| u64::from(c.attempts)).sum()
    }
}
