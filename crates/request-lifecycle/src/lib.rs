//! The machines behind the account's rules: a request with its attempts, a client's connection and a server's
//! connection. Inputs go in, effects come out; there is no clock, no socket and no task in here.
//!
//! What runs in the gateway is what the explorer explores: `gateway/src/core` drives [`request`], the gate of
//! each client's connection drives [`client`], the engine drives [`server`]. Each transition table is one
//! `match` in one place, and `docs/lifecycle.md` has it beside the rule that it guards. An input that cannot
//! come in a state is an [`Impossible`], never a panic, and changes nothing.
//!
//! ```
//! use glenrail_request_lifecycle::request::*;
//!
//! let mut out = Vec::new();
//! let mut request = Request::new(Terms { repeat: Repeat::Never, most: 5, cancel: true }, &mut out);
//! request.step(Input::Send { server: 1, stage: Stage::Run, may: true }, &mut out)?;
//! request.step(Input::Replied { attempt: 0, reply: Reply::Begins }, &mut out)?;
//! request.step(Input::StreamEnded { attempt: 0, end: StreamEnd::Whole }, &mut out)?;
//! assert!(request.over());
//! # Ok::<(), glenrail_request_lifecycle::Impossible>(())
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
