//! glenrail: a gateway for LLM serving split into prompt readers and answer writers.
//!
//! ```text
//! front (platform, inference) -> plugin -> core (glenrail_router::Router) -> engine
//!        client side      exchange object      server side
//! ```

pub mod budget;
mod chunks;
pub mod config;
pub mod core;
pub mod counters;
pub mod daemon;
pub mod discovery;
pub mod engine;
pub mod exchange;
pub mod fleet;
pub mod front;
pub mod handed;
pub mod haproxy;
pub mod invariants;
pub mod log;
pub mod ops;
pub mod plugin;
pub mod pools;
pub mod rotation;
pub mod shutdown;
pub mod upgrade;
pub mod upstream;
mod wire;
