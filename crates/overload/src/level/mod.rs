//! How much of the work is turned away. Each member makes a *wish* from its own pressure, with hysteresis, and tells
//! it with its traffic ([`MemberReport`]); the fleet's level is the mean of the wishes, weighed by traffic that is capped by
//! what others see ([`FleetView`]). The mean is a function of the words and their ages alone, in whole numbers, so that all
//! members come to the same from the same words in any order; what each acts on follows it at a bounded rate
//! ([`AppliedLevel`]), and whoever has heard the same for [`SETTLING_TIME`] milliseconds stands at the same.

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
