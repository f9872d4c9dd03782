//! Fault tests: real gateways and stand-in engines as processes on loopback, with faults between them, judged by the
//! platform's rules as invariants.
//!
//! - [`deployment`] starts the processes: the built gateway, and [`engine`]s, which are this crate's own program.
//! - [`network`] holds the proxies between each gateway and each engine: they blackhole, refuse, reset and delay.
//! - [`soak`] draws random, overlapping [`faults`] over a deployment under load.
//! - [`single_shot`] cuts the prefills of requests that may not be repeated right before they are answered.
//! - [`crowd`] fills a gateway's connection table with idle clients.
//! - [`sessions`] are clients that keep their connections, spread by a [`front`]; [`restarts`] ends gateways and starts them.
//! - [`lateness`] measures how late a run itself is; [`report`] holds what a run gave.
//! - [`record`] holds what engines, links and clients saw; [`invariants`] finds the invariants that did not hold.

mod attempt_observer;
pub mod client;
pub mod clock;
pub mod crowd;
pub mod deployment;
mod deployment_error;
mod deployment_spec;
pub mod discovery;
pub mod engine;
pub mod faults;
pub mod front;
pub mod gateway_log;
pub mod invariants;
pub mod lateness;
mod link_writer;
pub mod network;
pub mod persistent_connection;
pub mod process;
pub mod process_ends;
pub mod record;
pub mod report;
pub mod restarts;
pub mod sessions;
pub mod single_shot;
pub mod soak;
pub mod unread;
