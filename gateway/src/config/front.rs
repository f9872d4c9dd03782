//! The second front's file.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::{error, error_line, read, ConfigError};

/// The second front's file. Field names are the file's keys unless renamed.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InferenceFrontConfig {
    /// Address and port on which clients connect.
    pub listen: String,
    /// Most connections of clients.
    #[serde(default = "defaults::max_connections")]
    pub max_connections: usize,
    /// Longest request body in bytes.
    #[serde(default = "defaults::max_body")]
    pub max_body: usize,
    /// Deadline in milliseconds of a request that names none.
    #[serde(default = "defaults::deadline_ms")]
    pub deadline_ms: u64,
    /// Longest deadline in milliseconds that a request may name.
    #[serde(default = "defaults::max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// The platform's class that chat belongs to, where it goes to the platform's servers.
    #[serde(default)]
    pub chat_class: Option<String>,
    /// Servers for embeddings and rerank.
    #[serde(default)]
    pub embeddings: Option<PoolConfig>,
    /// Servers for chat; the platform's own where this is left out.
    #[serde(default)]
    pub chat: Option<PoolConfig>,
}

/// A pool of servers of one kind.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PoolConfig {
    /// Time in milliseconds for a connection to come up.
    #[serde(default = "defaults::connect_ms")]
    pub connect_ms: u64,
    /// Time in milliseconds after which an idle connection to a server is closed.
    #[serde(default = "defaults::idle_ms")]
    pub idle_ms: u64,
    /// Latency objective in milliseconds.
    #[serde(rename = "aim_ms", default = "defaults::latency_objective_ms")]
    pub latency_objective_ms: u64,
    /// Most attempts at one request.
    #[serde(default = "defaults::max_attempts")]
    pub max_attempts: u32,
    /// Whether a request that may have run may be sent again.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// The servers; at least one.
    #[serde(default)]
    pub servers: Vec<ServerConfig>,
}

/// A server of a pool.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// A name that no other server of the pool has.
    pub name: String,
    /// Its address and port.
    #[serde(rename = "dial")]
    pub address: String,
    /// Its capacity compared with the others'.
    #[serde(default = "defaults::weight")]
    pub weight: f64,
    /// Whether it finishes what it has and gets no new work.
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

/// Reads and checks the file.
pub fn front(path: &Path) -> Result<InferenceFrontConfig, ConfigError> {
    front_from(&read(path, &path.display().to_string())?)
}

/// Checks the file's text.
pub fn front_from(text: &str) -> Result<InferenceFrontConfig, ConfigError> {
    let front = parse(text)?;
    if front.listen.parse::<SocketAddr>().is_err() {
        return error("listen", format!("{:?} is no address:port", front.listen));
    }
    check_figures(&front)?;
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

fn check_figures(front: &InferenceFrontConfig) -> Result<(), ConfigError> {
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
