//! Routing decisions for LLM serving in which *prefill* servers process prompts and *decode* servers stream
//! answers.
//!
//! The library contains decision logic only: it uses no sockets, clock or threads. A gateway passes
//! [`Event`]s to [`Router::handle`] and executes the [`Action`]s that it returns. The same seed, settings and
//! events always produce the same actions.
//!
//! ```
//! use glenrail_router::*;
//!
//! let settings = Settings {
//!     router_index: 0,
//!     router_count: 1,
//!     zone: 0,
//!     tick_interval: 1.0,
//!     kinds: vec![
//!         ServerKind { role: Role::Prefill, memory_tokens: 200_000.0 },
//!         ServerKind { role: Role::Decode, memory_tokens: 150_000.0 },
//!     ],
//!     classes: vec![RequestClass {
//!         latency_objective: 1_000.0,
//!         latency_objective_per_1000_tokens: 60.0,
//!         deadline: 4_000.0,
//!         inter_token_objective: 50.0,
//!         priority_weight: 1.0,
//!         late_priority_weight: 0.1,
//!         idempotency: Idempotency::Idempotent,
//!         deduplication_scope: DeduplicationScope::All,
//!         idempotency_window: 5_000.0,
//!     }],
//!     tenants: vec![],
//!     limits: Limits {
//!         max_attempts: 6,
//!         max_retry_after: 1_000.0,
//!         connect_timeout: 250.0,
//!         probes: false,
//!         cancellation: true,
//!         hedging: true,
//!         retry_after: true,
//!         gossip: false,
//!         slot_reservation: false,
//!     },
//!     rules: Rules {
//!         answer_grace: 8.0,
//!         drain_grace: 1_000.0,
//!         lease_limit: 500.0,
//!         slow_start_window: 10_000.0,
//!         slow_start_initial_share: 0.3,
//!         overload_window: 2_000.0,
//!         overload_multiple: 3.0,
//!         discovery_poll_limit: 10_000.0,
//!     },
//!     discovery: Discovery::Push,
//!     over_quota_priority_weight: 0.1,
//!     prices: Prices::default(),
//!     stream_resumption: false,
//!     decode_servers_prefill: false,
//! };
//! let mut router = Router::new(7, settings);
//! let mut actions = Vec::new();
//! let entry = |id, kind| ServerEntry { server: ServerId(id), kind, weight: 1.0, ..ServerEntry::default() };
//! let servers = vec![entry(1, 0), entry(2, 1)];
//! router.handle(0.0, Event::ServerList { update: ListUpdate::Full, servers }, &mut actions);
//! actions.clear();
//! let request = Request {
//!     id: RequestId(1),
//!     session: 42,
//!     prefix: Some(9),
//!     prompt_tokens: 1_200.0,
//!     prefix_tokens: 800.0,
//!     max_tokens: 200.0,
//!     client_timeout: 4_000.0,
//!     ..Request::default()
//! };
//! router.handle(1.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { server: ServerId(1), .. })));
//! ```

#![deny(missing_docs)]

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

pub use api::{
    Action, AttemptOutcome, AttemptStatus, DeduplicationScope, Discovery, Event, Idempotency, Limits,
    ListUpdate, LoadReport, Millis, Prices, RejectReason, Request, RequestClass, RequestId, Role, Rules,
    ServerEntry, ServerId, ServerKind, ServerState, Settings, Tenant,
};
pub use policy::Router;
