//! Explores the machines of `glenrail-request-lifecycle`, and that of the fleet's leased budgets, exhaustively in small worlds: every order of events, with every
//! set of so many troubles among them. What is explored is what the gateway runs; `docs/lifecycle.md` has the
//! properties and the measured sizes, and `docs/one-fleet.md` those of budgets.

pub mod budget;
pub mod check;
pub mod client;
pub mod corners;
pub mod coverage;
pub mod request;
pub mod rules;
pub mod scenario;
pub mod server;
pub mod trace;
