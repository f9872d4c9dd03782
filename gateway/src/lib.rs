//! glenrail: a gateway for disaggregated LLM serving, with separate prefill servers and decode servers.
//!
//! ```text
//! front (platform, inference) -> plugin -> core (glenrail_router::Router) -> engine
//!        client side          exchange            server side
//! ```

pub mod admin;
pub mod budget;
pub mod config;
pub mod core;
mod counted_socket;
pub mod daemon;
pub mod discovery;
pub mod engine;
pub mod exchange;
pub mod fleet;
pub mod front;
pub mod haproxy;
pub mod invariants;
pub mod log;
pub mod maintenance;
pub mod metrics;
pub mod plugin;
pub mod pools;
pub mod request_ids;
mod response_clock;
pub mod response_ends;
pub mod shutdown;
pub mod upgrade;
pub mod upstream;
