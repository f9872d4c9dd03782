//! Specification of a deployment, and the settings that its gateways receive.

use std::time::Duration;

use serde_json::{json, Value};

use crate::engine::Role;

/// Default time to first token that each class aims for.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_millis(2_500);
/// Default limit of file descriptors of a gateway.
const DEFAULT_MAX_DESCRIPTORS: usize = 1_024;

/// Specification of one engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub name: String,
    pub role: Role,
    /// Minimum and maximum time of a prefill, or of a decode server until its first token, in milliseconds.
    pub service_time_ms: (u64, u64),
    /// Whether a prefill that has begun is completed even after its connection has ended.
    pub finishes_prefills: bool,
}

/// Specification of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    pub gateways: usize,
    pub engines: Vec<EngineSpec>,
    pub lease_limit: Duration,
    pub deadline: Duration,
    /// Time to first token that each class aims for.
    pub latency_objective: Duration,
    /// Whether the gateways may probe engines.
    pub probes: bool,
    /// Limit of file descriptors of each gateway.
    pub max_descriptors: usize,
}

impl DeploymentSpec {
    /// Returns a deployment of these sizes with the settings of the incident that `tests/unresponsive_decode_servers.rs`
    /// reproduces: a lease limit of 500 ms and deadlines of 9 s.
    pub fn new(gateways: usize, prefill_servers: usize, decode_servers: usize) -> DeploymentSpec {
        let engines_of = |prefix: &'static str, role, count| {
            (0..count).map(move |n| EngineSpec {
                name: format!("{prefix}{n}"),
                role,
                service_time_ms: (20, 60),
                finishes_prefills: false,
            })
        };
        let engines = engines_of("r", Role::Prefill, prefill_servers)
            .chain(engines_of("w", Role::Decode, decode_servers))
            .collect();
        let (limit, deadline) = (Duration::from_millis(500), Duration::from_secs(9));
        DeploymentSpec {
            gateways,
            engines,
            lease_limit: limit,
            deadline,
            latency_objective: DEFAULT_LATENCY_OBJECTIVE,
            probes: true,
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
        }
    }

    /// Sets the time until the first token of all decode servers, in milliseconds.
    pub fn with_decode_time(mut self, min_ms: u64, max_ms: u64) -> DeploymentSpec {
        let decode_engines = self.engines.iter_mut().filter(|e| e.role == Role::Decode);
        decode_engines.for_each(|engine| engine.service_time_ms = (min_ms, max_ms));
        self
    }

    /// Returns the settings of the gateways.
    pub fn settings(&self) -> Value {
        let deadline = self.deadline.as_secs_f64() * 1000.0;
        let objective = self.latency_objective.as_secs_f64() * 1000.0;
        let class = |name: &str, semantics: &str| json!({"name": name, "aim": objective, "deadline": deadline, "semantics": semantics, "worth": 2.0});
        json!({"balancers": self.gateways, "quantum": 4.0, "zones": ["dc"], "discovery": "push",
            "kinds": ["prompt-side", "answer-side"],
            "services": [class("item-query", "free"), class("order-chat", "single_shot")],
            "domain": {"stage-of-kind": ["read", "write"], "tokens-by-kind": [200_000, 200_000],
                "pin-limit": self.lease_limit.as_secs_f64() * 1000.0},
            "policy-limits": {"max-attempts": 5, "cancel": true, "dial-timeout": 250.0, "probes": self.probes,
                "conn-idle": 20_000.0},
            "rules": {"cold": 13_000.0, "cold-from": 0.31, "fall": 3_000.0, "fall-multiple": 4.0,
                "drain-grace": 2_000.0},
            "telemetry": {"names": ["outstanding", "x0"]}})
    }
}
