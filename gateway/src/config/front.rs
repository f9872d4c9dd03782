//! Configuration file of the second front (TOML): its format, defaults and validation.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::{error, error_line, read, ConfigError};

/// Contents of the second front's file. Field names are the keys of the file, unless a `rename` gives another.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InferenceFrontConfig {
    /// Address and port on which clients connect.
    pub listen: String,
    /// Maximum number of client connections.
    #[serde(default = "defaults::max_connections")]
    pub max_connections: usize,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "defaults::max_body")]
    pub max_body: usize,
    /// Deadline, in milliseconds, of a request that specifies none.
    #[serde(default = "defaults::deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum deadline, in milliseconds, that a request may specify.
    #[serde(default = "defaults::max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// Platform request class of chat requests that are routed to the platform's servers.
    #[serde(default)]
    pub chat_class: Option<String>,
    /// Pool for embeddings and rerank requests; `None` if this front does not serve them.
    #[serde(default)]
    pub embeddings: Option<PoolConfig>,
    /// Pool for chat requests; `None` routes them to the platform's servers, if there are any.
    #[serde(default)]
    pub chat: Option<PoolConfig>,
}

/// A pool of servers for one part of the API.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PoolConfig {
    /// Connect timeout, in milliseconds.
    #[serde(default = "defaults::connect_ms")]
    pub connect_ms: u64,
    /// Time, in milliseconds, after which an idle connection to a server is closed.
    #[serde(default = "defaults::idle_ms")]
    pub idle_ms: u64,
    /// Latency objective of a request, in milliseconds.
    #[serde(rename = "aim_ms", default = "defaults::latency_objective_ms")]
    pub latency_objective_ms: u64,
    /// Maximum number of attempts per request.
    #[serde(default = "defaults::max_attempts")]
    pub max_attempts: u32,
    /// Whether a request that may have been executed may be retried; `None` uses the default of the API's part.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// Servers of the pool; at least one.
    #[serde(default)]
    pub servers: Vec<ServerConfig>,
}

/// A server of a pool.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// Name of the server, unique in its pool.
    pub name: String,
    /// IP address and port to connect to.
    #[serde(rename = "dial")]
    pub address: String,
    /// Capacity relative to the other servers of the pool.
    #[serde(default = "defaults::weight")]
    pub weight: f64,
    /// Whether the server is draining: it completes its open requests and receives no new ones.
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
    pub fn latency_objective_ms() -> u64 {
        5_000
    }
    pub fn max_attempts() -> u32 {
        4
    }
    pub fn weight() -> f64 {
        1.0
    }
}

/// Reads and validates the file at `path`.
pub fn front(path: &Path) -> Result<InferenceFrontConfig, ConfigError> {
    parse_front(&read(path, &path.display().to_string())?)
}

/// Parses and validates the text of the file.
pub fn parse_front(text: &str) -> Result<InferenceFrontConfig, ConfigError> {
    let front = parse(text)?;
    if front.listen.parse::<SocketAddr>().is_err() {
        return error("listen", format!("{:?} is no address:port", front.listen));
    }
    check_limits(&front)?;
    for (name, pool) in [("embeddings", &front.embeddings), ("chat", &front.chat)] {
        if let Some(pool) = pool {
            check_pool(name, pool)?;
        }
    }
    Ok(front)
}

fn parse(text: &str) -> Result<InferenceFrontConfig, ConfigError> {
    toml::from_str(text).or_else(|e| error(format!("line {}", error_line(text, &e)), e.message()))
}

fn check_limits(front: &InferenceFrontConfig) -> Result<(), ConfigError> {
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
    Ok(())
}

fn check_pool(name: &str, pool: &PoolConfig) -> Result<(), ConfigError> {
    for (key, value) in [
        ("connect_ms", pool.connect_ms),
        ("idle_ms", pool.idle_ms),
        ("aim_ms", pool.latency_objective_ms),
        ("max_attempts", u64::from(pool.max_attempts)),
    ] {
        if value == 0 {
            return error(format!("{name}.{key}"), "must be above 0");
        }
    }
    if pool.servers.is_empty() {
        return error(format!("{name}.servers"), "at least one server wanted");
    }
    for index in 0..pool.servers.len() {
        check_server(name, &pool.servers, index)?;
    }
    Ok(())
}

fn check_server(pool: &str, servers: &[ServerConfig], index: usize) -> Result<(), ConfigError> {
    let key = |field: &str| format!("{pool}.servers[{index}].{field}");
    let server = &servers[index];
    if server.name.is_empty() || servers[..index].iter().any(|earlier| earlier.name == server.name) {
        return error(key("name"), "a name of its own wanted");
    }
    if server.address.parse::<SocketAddr>().is_err() {
        return error(key("dial"), format!("{:?} is no address:port", server.address));
    }
    if !server.weight.is_finite() || server.weight <= 0.0 {
        return error(key("weight"), "a number above 0 wanted");
    }
    Ok(())
}

#[cfg(test)]
mod tests;
