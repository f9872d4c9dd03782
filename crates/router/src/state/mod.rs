//! State of servers, requests and total traffic: plain data and look-ups without decisions.
//!
//! [`Router`](crate::Router) owns the values, and `policy` reads and updates them. The caller owns the clock
//! and passes the time as `now`.

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

/// Time for which a load report makes a probe unnecessary (ms). Servers renew their reports about as often.
pub const LOAD_REPORT_TTL: Millis = 500.0;
/// Decay time of the request count of each prefix and of the send count of each server (ms).
pub const REQUEST_RATE_DECAY: Millis = 40_000.0;
