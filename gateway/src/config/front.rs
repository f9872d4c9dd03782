//! The second front's file.

use std::net::SocketAddr;
use std::path::Path;

use glenrail_router::*;
use serde::{Deserialize, Serialize};

use super::{error, read, Error};

/// The second front's file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Front {
    pub listen: String,
    #[serde(default = "defaults::max_connections")]
    pub max_connections: usize,
    #[serde(default = "defaults::max_body")]
    pub max_body: usize,
    /// Milliseconds that a client waits that names no deadline, and the most that one may name.
    #[serde(default = "defaults::deadline_ms")]
    pub deadline_ms: u64,
    #[serde(default = "defaults::max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// The platform's class that chat belongs to, where its servers are the platform's.
    #[serde(default)]
    pub chat_class: Option<String>,
    /// For embeddings and rerank.
    #[serde(default)]
    pub embeddings: Option<Pool>,
    /// For chat; the platform's own servers where it is left out.
    #[serde(default)]
    pub chat: Option<Pool>,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    #[serde(default = "defaults::connect_ms")]
    pub connect_ms: u64,
    #[serde(default = "defaults::idle_ms")]
    pub idle_ms: u64,
    #[serde(default = "defaults::aim_ms")]
    pub aim_ms: u64,
    #[serde(default = "defaults::max_attempts")]
    pub max_attempts: u32,
    /// Whether a request that may have run may be sent again.
    #[serde(default)]
    pub repeatable: Option<bool>,
    #[serde(default)]
    pub servers: Vec<Server>,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub name: String,
    pub dial: String,
    #[serde(default = "defaults::weight")]
    pub weight: f64,
    /// It finishes what it has and gets nothing new.
    #[serde(default)]
    pub drain: bool,
}

mod defaults {
    pub fn max_connections() -> usize {
        200
    }
    pub fn max_body() -> usize {
        4 << 20
    }
    pub fn deadline_ms() -> u64 {
        30_000
    }
    pub fn max_deadline_ms() -> u64 {
        120_000
    }
    pub fn connect_ms() -> u64 {
        250
    }
    pub fn idle_ms() -> u64 {
        10_000
    }
    pub fn aim_ms() -> u64 {
        5_000
    }
    pub fn max_attempts() -> u32 {
        4
    }
    pub fn weight() -> f64 {
        1.0
    }
}

pub fn front(path: &Path) -> Result<Front, Error> {
    front_from(&read(path, &path.display().to_string())?)
}

pub fn front_from(text: &str) -> Result<Front, Error> {
    let front: Front = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| text.bytes().take(s.start).filter(|b| *b == b'\n').count() + 1);
        Error { key: format!("line {line}"), what: e.message().to_string() }
    })?;
    if front.listen.parse::<SocketAddr>().is_err() {
        return error("listen", format!("{:?} is no address:port", front.listen));
    }
    for (key, value) in [
        ("max_connections", front.max_connections as u64),
        ("max_body", front.max_body as u64),
        ("deadline_ms", front.deadline_ms),
        ("max_deadline_ms", front.max_deadline_ms),
    ] {
        if value == 0 {
            return error(key, "must be above 0");
        }
    }
    if front.deadline_ms > front.max_deadline_ms {
        return error("deadline_ms", "must not be above max_deadline_ms");
    }
    for (name, pool) in [("embeddings", &front.embeddings), ("chat", &front.chat)] {
        if let Some(pool) = pool {
            check_pool(name, pool)?;
        }
    }
    Ok(front)
}

fn check_pool(name: &str, pool: &Pool) -> Result<(), Error> {
    for (key, value) in [
        ("connect_ms", pool.connect_ms),
        ("idle_ms", pool.idle_ms),
        ("aim_ms", pool.aim_ms),
        ("max_attempts", u64::from(pool.max_attempts)),
    ] {
        if value == 0 {
            return error(format!("{name}.{key}"), "must be above 0");
        }
    }
    if pool.servers.is_empty() {
        return error(format!("{name}.servers"), "at least one server wanted");
    }
    for (i, s) in pool.servers.iter().enumerate() {
        let key = |field: &str| format!("{name}.servers[{i}].{field}");
        if s.name.is_empty() || pool.servers[..i].iter().any(|o| o.name == s.name) {
            return error(key("name"), "a name of its own wanted");
        }
        if s.dial.parse::<SocketAddr>().is_err() {
            return error(key("dial"), format!("{:?} is no address:port", s.dial));
        }
        if !s.weight.is_finite() || s.weight <= 0.0 {
            return error(key("weight"), "a number above 0 wanted");
        }
    }
    Ok(())
}

/// The settings of a one-stage pool, in the module's terms: servers of one kind, which read and answer. The
/// figures of the rules are those that the platform's deployments have.
pub fn one_stage(pool: &Pool, deadline: Millis, repeatable: bool) -> Settings {
    let effect = if pool.repeatable.unwrap_or(repeatable) {
        Idempotency::Idempotent
    } else {
        Idempotency::NonIdempotent
    };
    let class = RequestClass {
        latency_objective: pool.aim_ms as Millis,
        deadline,
        priority_weight: 1.0,
        late_priority_weight: 0.1,
        idempotency: effect,
        ..RequestClass::default()
    };
    Settings {
        router_index: 0,
        router_count: 1,
        zone: 0,
        tick_interval: 1.0,
        kinds: vec![ServerKind { role: Role::Mixed, memory_tokens: 0.0 }],
        classes: vec![class],
        tenants: vec![],
        limits: Limits {
            max_attempts: pool.max_attempts,
            max_retry_after: 1_000.0,
            connect_timeout: pool.connect_ms as Millis,
            probes: false,
            cancellation: true,
            hedging: false,
            retry_after: true,
            gossip: false,
            slot_reservation: false,
        },
        rules: Rules {
            answer_grace: 50.0,
            drain_grace: 2_000.0,
            lease_limit: 500.0,
            slow_start_window: 13_000.0,
            slow_start_initial_share: 0.31,
            overload_window: 3_000.0,
            overload_multiple: 4.0,
            discovery_poll_limit: 10_000.0,
        },
        discovery: Discovery::Push,
        over_quota_priority_weight: 0.1,
        prices: glenrail_router::Prices::default(),
        stream_resumption: false,
        decode_servers_prefill: false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_second_fronts_file_is_checked() {
        let good = "listen = '127.0.0.1:0'\n[embeddings]\nservers = [{ name = 'e', dial = '127.0.0.1:9' }]\n";
        assert_eq!(front_from(good).expect("a file").max_body, 4 << 20);
        for (text, key) in [
            ("listen = 'x'", "listen"),
            ("listen = '127.0.0.1:0'\nmax_body = 0", "max_body"),
            ("listen = '127.0.0.1:0'\ndeadline_ms = 9000\nmax_deadline_ms = 10", "deadline_ms"),
            ("listen = '127.0.0.1:0'\n\nlisten_too = 1", "line 3"),
            ("listen = '127.0.0.1:0'\n[chat]\nservers = []", "chat.servers"),
            (
                "listen = '127.0.0.1:0'\n[chat]\nservers = [{ name = 'a', dial = 'b' }]",
                "chat.servers[0].dial",
            ),
        ] {
            assert_eq!(front_from(text).expect_err(text).key, key);
        }
    }
}
