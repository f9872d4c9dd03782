//! Sans-I/O state machines of a request with its attempts, of a client's connection, and of a connection to a server;
//! and plain decisions: which server to ask for a release, what stands beside an attempt, and when to poll discovery.
//!
//! Inputs go in, effects come out; there is no clock, no socket and no task in here. What runs in the gateway is what
//! the model checker explores: `gateway/src/core` drives [`request`], the front drives [`client`], the engine drives
//! [`server`]. Each transition table stands in one place, and `docs/lifecycle.md` has it beside the rule that it
//! guards. An input that cannot occur in a state is an [`InvalidTransition`], never a panic, and changes nothing.
//!
//! ```
//! use glenrail_request_lifecycle::request::{
//!     Input, Reply, Request, RequestPolicy, RetrySafety, Stage, StreamEnd,
//! };
//!
//! let mut effects = Vec::new();
//! let policy = RequestPolicy { retry_safety: RetrySafety::AtMostOnce, max_attempts: 5, cancellation: true };
//! let mut request = Request::new(policy, &mut effects);
//! request.step(Input::Send { server: 1, stage: Stage::Execute, permitted: true }, &mut effects)?;
//! request.step(Input::Replied { attempt: 0, reply: Reply::FirstEvent }, &mut effects)?;
//! request.step(Input::StreamEnded { attempt: 0, end: StreamEnd::Complete }, &mut effects)?;
//! assert!(request.is_finished());
//! # Ok::<(), glenrail_request_lifecycle::InvalidTransition>(())
//! ```

#![deny(missing_docs)]

pub mod client;
pub mod discovery_polling;
pub mod evidence;
mod planting;
pub mod reachability;
pub mod request;
pub mod sentinel;
pub mod server;

/// An input that cannot occur in the state that the machine is in. The machine is unchanged.
///
/// It points to an error of the driver, or to an event that was reported twice; the machine goes on without it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{machine}: {input} cannot come while {state}")]
pub struct InvalidTransition {
    /// Which machine: "request", "client connection" or "server connection".
    pub machine: &'static str,
    /// The input, in its `Debug` form.
    pub input: String,
    /// The machine's state, in its `Debug` form.
    pub state: String,
}

impl InvalidTransition {
    fn new(machine: &'static str, input: &impl std::fmt::Debug, state: &impl std::fmt::Debug) -> Self {
        InvalidTransition { machine, input: format!("{input:?}"), state: format!("{state:?}") }
    }
}
