//! Router settings for a pool of the second front's file, whose servers all do both prefill and decode.
//!
//! Settings that the file lacks have the values of the platform's deployments.

use glenrail_router::{
    Discovery, Idempotency, Limits, Millis, Prices, RequestClass, Role, Rules, ServerKind, Settings,
};

use super::PoolConfig;

/// Maximum `Retry-After`, in milliseconds, sent to a rejected client.
const MAX_RETRY_AFTER: Millis = 1_000.0;

/// Returns settings with a single request class. `deadline` is the maximum deadline of any request; `default` applies
/// if the file does not specify whether a request that may have been executed may be retried.
pub fn mixed_pool_settings(pool: &PoolConfig, deadline: Millis, default: Idempotency) -> Settings {
    Settings {
        router_index: 0,
        router_count: 1,
        zone: 0,
        tick_interval: 1.0,
        kinds: vec![ServerKind { role: Role::Mixed, memory_tokens: 0.0 }],
        classes: vec![request_class(pool, deadline, default)],
        tenants: vec![],
        limits: limits(pool),
        rules: rules(),
        discovery: Discovery::Push,
        over_quota_priority_weight: 0.1,
        prices: Prices::default(),
        stream_resumption: false,
        decode_servers_prefill: false,
    }
}

fn request_class(pool: &PoolConfig, deadline: Millis, default: Idempotency) -> RequestClass {
    let idempotency = match pool.repeatable {
        Some(true) => Idempotency::Idempotent,
        Some(false) => Idempotency::NonIdempotent,
        None => default,
    };
    RequestClass {
        latency_objective: pool.latency_objective_ms as Millis,
        deadline,
        priority_weight: 1.0,
        late_priority_weight: 0.1,
        idempotency,
        ..RequestClass::default()
    }
}

fn limits(pool: &PoolConfig) -> Limits {
    Limits {
        max_attempts: pool.max_attempts,
        max_retry_after: MAX_RETRY_AFTER,
        connect_timeout: pool.connect_ms as Millis,
        probes: false,
        cancellation: true,
        hedging: false,
        retry_after: true,
        gossip: false,
        slot_reservation: false,
    }
}

fn rules() -> Rules {
    Rules {
        answer_grace: 50.0,
        drain_grace: 2_000.0,
        lease_limit: 500.0,
        slow_start_window: 13_000.0,
        slow_start_initial_share: 0.31,
        overload_window: 3_000.0,
        overload_multiple: 4.0,
        discovery_poll_limit: 10_000.0,
    }
}
