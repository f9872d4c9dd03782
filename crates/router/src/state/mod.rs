//! What the router knows of servers, requests and the traffic as a whole: plain data and look-ups.
//!
//! Nothing here decides anything. [`Router`](crate::Router) owns the values, `policy` reads and updates them,
//! and the caller owns the clock, which comes in as `now`.

mod health;
mod location;
mod math;
mod placement;
mod random;
mod request_state;
pub mod server_record;
mod statistics;

pub use health::{FailureKind, Health};
pub use location::Location;
pub use math::{median, sanitize, DecayingValue};
pub use placement::{AffinityEntry, AffinityKey, Placement, Stage};
pub use random::Random;
pub use request_state::{Attempt, PossibleExecution, RecentRequests, RequestState, SentProbe};
pub use server_record::{PendingAttempt, PrefillSample, SentWork, ServerRecord, UnreportedStream};
pub use statistics::{RoleThroughput, RoutingStatistics, ServiceTime};

use crate::api::Millis;

/// Time for which a load report replaces a probe (ms). Servers renew their reports about as often.
pub const LOAD_REPORT_TTL: Millis = 500.0;
/// Decay time of the counts of requests for each prefix and of sends to each server (ms).
pub const REQUEST_RATE_DECAY: Millis = 40_000.0;
