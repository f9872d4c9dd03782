//! The machines behind the account's rules: a request with its attempts, a client's connection and a server's
//! connection. Inputs go in, effects come out; there is no clock, no socket and no task in here.
//!
//! What runs in the gateway is what the explorer explores: `gateway/src/core` drives [`request`], the gate of
//! each client's connection drives [`client`], the engine drives [`server`]. Each transition table is one
//! `match` in one place, and `docs/lifecycle.md` has it beside the rule that it guards. An input that cannot
//! come in a state is an [`InvalidTransition`], never a panic, and changes nothing.
//!
//! ```
//! use glenrail_request_lifecycle::request::*;
//!
//! let mut out = Vec::new();
//! let mut request = Request::new(RequestPolicy { retry_safety: RetrySafety::AtMostOnce, max_attempts: 5, cancellation: true }, &mut out);
//! request.step(Input::Send { server: 1, stage: Stage::Execute, permitted: true }, &mut out)?;
//! request.step(Input::Replied { attempt: 0, reply: Reply::FirstEvent }, &mut out)?;
//! request.step(Input::StreamEnded { attempt: 0, end: StreamEnd::Complete }, &mut out)?;
//! assert!(request.is_finished());
//! # Ok::<(), glenrail_request_lifecycle::InvalidTransition>(())
//! ```

pub mod client;
pub mod reach;
pub mod request;
pub mod server;
pub mod watch;

/// An input that cannot come where the machine stands. The machine is as it was before.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{machine}: {input} cannot come while {state}")]
pub struct InvalidTransition {
    pub machine: &'static str,
    pub input: String,
    pub state: String,
}

impl InvalidTransition {
    fn new(machine: &'static str, input: &impl std::fmt::Debug, state: &impl std::fmt::Debug) -> Self {
        InvalidTransition { machine, input: format!("{input:?}"), state: format!("{state:?}") }
    }
}
