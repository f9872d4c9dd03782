//! Model checker of the state machines of `glenrail-request-lifecycle` and of the fleet's leased budgets.
//!
//! It explores small worlds exhaustively: every order of events, with every set of so many faults among them. What is
//! explored is what the gateway runs; `docs/lifecycle.md` has the properties and the measured sizes, `docs/one-fleet.md`
//! those of budgets. A world owns all state and has no clock; `stateright` does the search.

#![deny(missing_docs)]

pub mod budget;
pub mod cases;
pub mod check;
pub mod client;
pub mod corners;
pub mod coverage;
pub mod framing;
pub mod mutants;
pub mod request;
pub mod request_ids;
pub mod response_timing;
pub mod rules;
pub mod scenario;
pub mod server;
pub mod trace;
