//! Fault trials: real gateways and stand-in engines as processes on loopback, with faults between them, judged by the
//! platform's rules as invariants.
//!
//! - [`deployment`] starts the processes: the built gateway, and [`engine`]s, which are this crate's own program.
//! - [`network`] is the way between each gateway and each engine: it falls silent, never comes up, resets and delays.
//! - [`soak`] draws random, overlapping [`faults`] over a deployment under load.
//! - [`record`] holds what engines, links and clients saw; [`judge`] finds the invariants that did not hold.

pub mod client;
pub mod clock;
pub mod deployment;
pub mod discovery;
pub mod engine;
pub mod faults;
pub mod judge;
pub mod network;
pub mod record;
mod attempt_observer;
pub mod soak;
