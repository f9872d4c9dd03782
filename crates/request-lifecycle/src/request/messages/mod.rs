//! Values that go in and come out of the state machine of a request.
//!
//! Plain data with no logic beyond classification. Serde renames keep the spellings of traces and of states that are
//! handed over between processes; an identifier may change, its stored spelling may not.

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

/// Identifier of a server, assigned by the caller.
pub type Server = u64;

/// A timer of a request. The caller owns the clock: it arms, disarms and expires timers as [`Effect`]s ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timer {
    /// The request's deadline, a little later than the router's own.
    Deadline,
    /// The longest time that servers may hold a reservation while no attempt that uses it is known to have arrived.
    #[serde(rename = "Pin")]
    LeaseLimit,
}
