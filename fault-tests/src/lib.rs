//! Fault-injection tests of the gateway: real gateways and stand-in engines run as processes on loopback with faults between
//! them, and the events that they record are checked against the platform's rules as invariants.
//!
//! - [`deployment`] starts the processes: the gateway's binary, and [`engine`]s, which are run by this crate's own binary.
//! - [`network`] provides the proxies between each gateway and each engine, which blackhole, refuse, reset and delay.
//! - [`soak`] injects random, overlapping [`faults`] into a deployment under load.
//! - [`single_shot`] provokes the cancellation of prefills of non-repeatable requests right before their responses.
//! - [`crowd`] fills a gateway's connection table with idle clients.
//! - [`slow_answers`] has servers write at random paces, beside restarts, upgrades and other disruptions.
//! - [`sessions`] runs clients with persistent connections behind a [`front`]; [`restarts`] stops and starts gateways.
//! - [`lateness`] measures scheduling delays of a run; [`report`] holds and prints the results of a run.
//! - [`record`] defines the events of engines, links and clients; [`invariants`] finds the invariants that they break.

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
pub mod slow_answers;
pub mod soak;
pub mod unread;
