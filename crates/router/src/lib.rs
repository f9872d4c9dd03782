//! Routing decisions for LLM serving in which *readers* take in prompts and *writers* stream answers.
//!
//! The library decides and does nothing else: no sockets, no clock, no threads. A dispatcher feeds it
//! events and carries out the actions it gives back.
//!
//! ```
//! use glenrail_router::*;
//!
//! let settings = Settings {
//!     me: 0, routers: 1, zone: 0, tick: 1.0,
//!     kinds: vec![
//!         Kind { role: Role::Reader, memory_tokens: 200_000.0 },
//!         Kind { role: Role::Writer, memory_tokens: 150_000.0 },
//!     ],
//!     classes: vec![Class {
//!         aim: 1_000.0, aim_per_1000_tokens: 60.0, deadline: 4_000.0, token_aim: 50.0, worth: 1.0,
//!         late_worth: 0.1, effect: Effect::Safe, group: Group::All, window: 5_000.0,
//!     }],
//!     tenants: vec![],
//!     limits: Limits {
//!         max_attempts: 6, max_retry_after: 1_000.0, connect_timeout: 250.0, probes: false, cancel: true,
//!         second_copies: true, retry_after: true, peers: false, places_ahead: false,
//!     },
//!     rules: Rules {
//!         answer_grace: 8.0, drain_grace: 1_000.0, pin_limit: 500.0, cold: 10_000.0, cold_from: 0.3,
//!         fall: 2_000.0, fall_multiple: 3.0, ask_within: 10_000.0,
//!     },
//!     discovery: Discovery::Push, over_share_worth: 0.1, prices: Prices::default(), resume: false, writers_read: false,
//! };
//! let mut router = Router::new(7, settings);
//! let mut actions = Vec::new();
//! let member = |id, kind| Member {
//!     server: ServerId(id), zone: 0, cell: 0, kind, state: ServerState::Ready, weight: 1.0, started: None,
//! };
//! router.handle(0.0, Event::Members { scope: Scope::Full, members: vec![member(1, 0), member(2, 1)] },
//!     &mut actions);
//! actions.clear();
//! router.handle(1.0, Event::Request(Request {
//!     id: RequestId(1), class: 0, tenant: 0, session: 42, prefix: Some(9), prompt_tokens: 1_200.0,
//!     prefix_tokens: 800.0, max_tokens: 200.0, hint: None, patience: 4_000.0, repeat: false, resumed: false,
//! }), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! ```

mod api;
mod fleet_load;
mod log_limit;
mod policy;
mod recent_entries;
mod rendezvous;
mod server_list;
mod shedding_trials;
mod slow_start_budget;
mod snapshot;
mod state;
mod tenant_quota;
mod wait_estimate;

pub use api::*;
pub use policy::Router;
