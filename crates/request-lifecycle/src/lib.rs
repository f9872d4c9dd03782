//! Sans-I/O state machines of a request and its attempts, of a client connection and of a server connection.
//!
//! [`response_timing`] is the machine of a response's time limits; its driver states the time of each input.
//!
//! The remaining modules are decision functions without I/O: [`evidence`] interprets what is observed on connections,
//! [`reachability`] orders servers for a release, [`sentinel`] selects pooled connections, and [`discovery_polling`]
//! schedules polls.
//!
//! A machine takes inputs and returns effects; it has no clock, no sockets and no tasks. `gateway/src/core` drives
//! [`request`], the front drives [`client`] and the engine drives [`server`]. The model checker explores the same
//! code. Each transition table is defined in one place, and `docs/lifecycle.md` lists it with the rules that it
//! enforces. An input that is not valid in the current state returns an [`InvalidTransition`] and changes nothing;
//! it never panics.
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
pub mod framing;
mod planting;
pub mod reachability;
pub mod request;
pub mod request_ids;
pub mod response_timing;
pub mod sentinel;
pub mod server;

/// Error for an input that is not valid in the current state of a machine. The machine is unchanged.
///
/// It indicates a bug in the driver or an event that was reported twice. The machine accepts further inputs.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{machine}: input {input} is not valid in state {state}")]
pub struct InvalidTransition {
    /// Kind of machine: "request", "client connection" or "server connection".
    pub machine: &'static str,
    /// `Debug` form of the rejected input.
    pub input: String,
    /// `Debug` form of the whole machine at that time.
    pub state: String,
}

impl InvalidTransition {
    fn new(machine: &'static str, input: &impl std::fmt::Debug, state: &impl std::fmt::Debug) -> Self {
        InvalidTransition { machine, input: format!("{input:?}"), state: format!("{state:?}") }
    }
}
