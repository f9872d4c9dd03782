//! Format of discovery's endpoint list, and its conversion and application to the router and the engine client.
//!
//! The module has no state; callers pass each list on. The caller's [`Clock`] converts Unix times to router times.
#![deny(missing_docs)]

use std::collections::BTreeMap;

use glenrail_router::{ListUpdate, ServerEntry, ServerState};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::core::{Clock, Core, Upstream};
use crate::engine::{Engine, ServerAddress};
use crate::log;

/// `health` value of a server that accepts new requests.
const HEALTH_SERVING: &str = "SERVING";
/// `health` value of a server that only completes its open requests. Any other value means that the server has
/// terminated.
const HEALTH_DRAINING: &str = "DRAINING";
/// Index of the kind of a server whose `class` is not in the settings; no kind has this index.
const UNKNOWN_KIND: u32 = u32::MAX;

/// A full endpoint list, or the changes since an earlier version.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct EndpointList {
    /// Version of the list, which the next poll sends.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether this is the full list; otherwise it contains only the changed lines.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Usable lines in order, at most one for each server.
    #[serde(rename = "hosts", deserialize_with = "usable_lines")]
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// Parses a list. Bytes that are not UTF-8 are replaced, so that they affect only their own line.
    pub fn read(bytes: &[u8]) -> serde_json::Result<EndpointList> {
        serde_json::from_str(&String::from_utf8_lossy(bytes))
    }
}

/// Parses each line separately, so that an unusable line does not invalidate the others. If two lines have the same
/// server, the later one is used. Both cases are logged.
fn usable_lines<'de, D: Deserializer<'de>>(lines: D) -> Result<Vec<Endpoint>, D::Error> {
    let mut endpoints: Vec<Endpoint> = Vec::new();
    for line in Option::<Vec<Box<RawValue>>>::deserialize(lines)?.unwrap_or_default() {
        let endpoint = match Endpoint::read(&line) {
            Ok(endpoint) => endpoint,
            Err(error) => {
                let line = line.get().split_whitespace().collect::<Vec<_>>().join(" ");
                log!("discovery: skipped a malformed endpoint: {line:.200}: {error}");
                continue;
            }
        };
        if let Some(earlier) = endpoints.iter().position(|other| other.host == endpoint.host) {
            log!("discovery: {} is listed twice, the later entry is used", endpoint.host);
            endpoints.remove(earlier);
        }
        endpoints.push(endpoint);
    }
    Ok(endpoints)
}

/// A line of the list: a server, its address and its state.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Endpoint {
    /// Name of the server, the same at every gateway.
    pub host: String,
    /// Address and port at which this gateway reaches the server.
    #[serde(rename = "dial")]
    pub address: String,
    #[serde(rename = "site")]
    zone: Value,
    #[serde(rename = "class")]
    kind: Value,
    #[serde(rename = "block")]
    cell: Value,
    health: String,
    #[serde(rename = "share")]
    weight: Option<f64>,
    /// Start time of the server, in Unix milliseconds; 0 if unknown.
    #[serde(rename = "born_ms")]
    pub started_unix_ms: f64,
}

/// Names of the deployment's zones and server kinds, in the order of their indices in the settings.
pub struct SettingsNames {
    /// Names of zones, by index.
    pub zones: Vec<String>,
    /// Names of server kinds, by index.
    pub kinds: Vec<String>,
}

/// Returns the index that a field denotes: that of a name in `names`, or a number, which may be a string.
fn settings_index(field: &Value, names: &[String]) -> Option<u32> {
    match field {
        Value::String(text) => match names.iter().position(|name| name == text) {
            Some(index) => Some(index as u32),
            None => text.parse().ok(),
        },
        other => other.as_u64().map(|number| number as u32),
    }
}

/// Reason why a line cannot be used.
#[derive(Debug, thiserror::Error)]
enum UnusableLine {
    #[error("{0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("no name")]
    NoName,
    #[error("no address to dial")]
    NoAddress,
}

impl Endpoint {
    /// Parses a line. A null field is treated as missing, and a malformed field makes the line unusable. If such a
    /// line still states that its server accepts no new requests, its name, address and health are used.
    fn read(line: &RawValue) -> Result<Endpoint, UnusableLine> {
        let fields: BTreeMap<String, Box<RawValue>> = serde_json::from_str(line.get())?;
        let mut readable = Map::new();
        let mut first_fault = None;
        for (name, raw) in fields {
            match serde_json::from_str::<Value>(raw.get()) {
                Ok(Value::Null) => {}
                Ok(value) => {
                    readable.insert(name, value);
                }
                Err(error) => {
                    first_fault.get_or_insert(error);
                }
            }
        }
        let minimal = Endpoint::minimal(&readable);
        let parsed = match first_fault {
            Some(error) => Err(error),
            None => Endpoint::deserialize(Value::Object(readable)),
        };
        let endpoint = match parsed {
            Ok(endpoint) => endpoint,
            Err(_) if minimal.forbids_new_work() => minimal,
            Err(error) => return Err(error.into()),
        };
        endpoint.checked()
    }

    /// Returns an endpoint with only the name, address and health of a line.
    fn minimal(fields: &Map<String, Value>) -> Endpoint {
        let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("").to_string();
        Endpoint { host: text("host"), address: text("dial"), health: text("health"), ..Endpoint::default() }
    }

    /// Whether the line states explicitly that its server is draining or has terminated.
    fn forbids_new_work(&self) -> bool {
        !self.health.is_empty() && self.state() != ServerState::Ready
    }

    fn checked(self) -> Result<Endpoint, UnusableLine> {
        if self.host.is_empty() {
            return Err(UnusableLine::NoName);
        }
        if self.state() == ServerState::Ready && self.address.is_empty() {
            return Err(UnusableLine::NoAddress);
        }
        Ok(self)
    }

    /// Whether this line states that the server has terminated.
    pub fn is_terminated(&self) -> bool {
        self.state() == ServerState::Terminated
    }

    fn state(&self) -> ServerState {
        match self.health.as_str() {
            HEALTH_SERVING => ServerState::Ready,
            HEALTH_DRAINING => ServerState::Draining,
            _ => ServerState::Terminated,
        }
    }

    /// Marks the server as draining, unless it has terminated.
    pub fn mark_draining(&mut self) {
        if !self.is_terminated() {
            self.health = HEALTH_DRAINING.into();
        }
    }

    /// Converts the line to a router entry. The id of the server depends on its name, not on its address, so it is the
    /// same at every gateway.
    fn router_entry(&self, names: &SettingsNames, clock: &Clock) -> ServerEntry {
        let kind = settings_index(&self.kind, &names.kinds);
        if kind.is_none() {
            log!("discovery: {} has an unknown kind: {}", self.host, self.kind);
        }
        ServerEntry {
            server: glenrail_settings::server_id(&self.host),
            zone: settings_index(&self.zone, &names.zones).unwrap_or(0),
            cell: settings_index(&self.cell, &[]).unwrap_or(0),
            kind: kind.unwrap_or(UNKNOWN_KIND),
            state: self.state(),
            weight: self.weight.unwrap_or(1.0),
            started: (self.started_unix_ms > 0.0).then(|| clock.from_unix(self.started_unix_ms)),
        }
    }

    /// Returns the address of this line's server for the engine client.
    fn engine_address(&self, entry: &ServerEntry) -> ServerAddress {
        ServerAddress {
            server: entry.server,
            address: self.address.clone(),
            is_serving: entry.state == ServerState::Ready,
            zone: entry.zone,
            started_ms: self.started_unix_ms as u64,
        }
    }
}

/// Applies a list to the engine client and then to the router.
pub fn apply_list<U: Upstream>(
    list: &EndpointList, scope: ListUpdate, names: &SettingsNames, clock: &Clock, engine: &Engine,
    core: &Core<U>,
) {
    let entries: Vec<ServerEntry> =
        list.endpoints.iter().map(|endpoint| endpoint.router_entry(names, clock)).collect();
    let mut changed = Vec::new();
    let mut terminated = Vec::new();
    for (endpoint, entry) in list.endpoints.iter().zip(&entries) {
        match entry.state {
            ServerState::Terminated => terminated.push(entry.server),
            _ => changed.push(endpoint.engine_address(entry)),
        }
    }
    engine.update_servers(scope != ListUpdate::Delta, &changed, &terminated);
    core.update_servers(scope, entries);
}

#[cfg(test)]
mod tests;
