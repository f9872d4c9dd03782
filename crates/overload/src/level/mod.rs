//! Load-shedding level: the share of the work that the fleet rejects.
//!
//! Each member derives a desired level from the pressure on its own queues, with hysteresis
//! ([`DesiredLevel`]), and sends it with its traffic in a [`MemberReport`]. The fleet's level is the mean of
//! the desired levels, weighted by traffic that is capped by what others observe ([`FleetView`]). It depends
//! on the reports and their ages alone and is computed in integers, so that all members derive the same level
//! from the same reports in any order. The level that a member applies follows the fleet's at a bounded rate
//! ([`AppliedLevel`]): members that have had the same reports for [`SETTLING_TIME`] milliseconds apply the
//! same level.

mod applied;
mod desired;
mod fleet;
mod report;
mod traffic;

pub use applied::{AppliedLevel, MAX_CHANGE_PER_SECOND, SETTLING_TIME};
pub use desired::{DesiredLevel, LOWER_BELOW_PRESSURE, RAISE_ABOVE_PRESSURE};
pub use fleet::{FleetView, ReceivedReport, FULL_WEIGHT_AGE, MAX_REPORT_AGE};
pub use report::{ClassRates, MemberReport, ReportError, RoleQueueWait};
pub use traffic::{capped_attempts, TrafficClaim};

#[cfg(test)]
mod tests;
