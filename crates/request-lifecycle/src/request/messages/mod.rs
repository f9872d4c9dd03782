//! Inputs, effects and state values of the request's state machine.
//!
//! They are plain data; their only logic is classification. The serde renames keep the names that stored traces use
//! and that are handed over between processes: an identifier may change, its serialized name may not.

mod attempt;
mod effect;
mod input;
mod policy;
mod reservation;
mod response;

pub use self::attempt::{Attempt, AttemptState, Reply, Stage, Status, StreamEnd};
pub use self::effect::Effect;
pub use self::input::Input;
pub use self::policy::{RequestPolicy, RetrySafety};
pub use self::reservation::{Release, Reservation, SlotRequest};
pub use self::response::{FinalResponse, ResponseState};

use serde::{Deserialize, Serialize};

/// Server identifier, assigned by the caller.
pub type Server = u64;

/// A timer of a request. The caller owns the clock: it starts and stops timers as [`Effect`]s require, and reports
/// their expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timer {
    /// The request's deadline. It expires slightly later than the router's own timer.
    Deadline,
    /// Maximum time for which servers may hold a reservation while no attempt that uses it is known to be delivered.
    #[serde(rename = "Pin")]
    LeaseLimit,
}
