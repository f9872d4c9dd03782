//! Configuration provided by the platform: a JSON file, and environment variables for keys that the file lacks.

mod bounds;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use glenrail_access_log::counts::Prices;
use glenrail_router::Settings;
use serde_json::Value;

pub use self::bounds::Bounds;
use self::bounds::{DEFAULT_MEMORY_MB, DEFAULT_SOCKETS, MIN_MEMORY_MB};
use super::{error, read, ConfigError};
use crate::core::duration;

/// Minimum limit on file descriptors. With fewer, none remain for connections to servers.
const MIN_SOCKETS: f64 = 40.0;
/// Maximum value of a limit. A larger one is rejected as a mistake.
const MAX_LIMIT: f64 = 1e8;
/// Default time, in milliseconds, after which servers close idle connections: the shortest of all deployments.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;
/// Radix of a seed given as a string.
const SEED_RADIX: u32 = 16;

/// Validated configuration provided by the platform.
#[derive(Debug)]
pub struct Platform {
    /// Name of this gateway, unchanged by restarts; `None` if none is set.
    pub name: Option<String>,
    /// Address of the platform's front, for clients.
    pub listen: SocketAddr,
    /// Host and port of the discovery service.
    pub discovery: String,
    /// Address of the operators' front; `None` disables that front.
    pub ops: Option<SocketAddr>,
    /// State directory of this gateway, shared with a second process at the same address.
    pub state: PathBuf,
    /// Seed of the router's random number generator.
    pub seed: u64,
    /// Limits on connections and memory.
    pub bounds: Bounds,
    /// Initial endpoint list, in the format of discovery; null if there is none.
    pub known: Value,
    /// Settings of the deployment, converted for the router.
    pub settings: Settings,
    /// Names of zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of server kinds, in the order of the settings.
    pub kinds: Vec<String>,
    /// Names of tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of request classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Time after which servers close an idle connection.
    pub conn_idle: Duration,
    /// Costs that reduce the deployment's result: of probes, handshakes, discovery, cell transfers and waste.
    pub prices: Prices,
}

/// Reads the platform's configuration from the file named by `EDGE_CONFIG`; `None` if the platform provides none.
pub fn platform(variable: impl Fn(&str) -> Option<String>) -> Result<Option<Platform>, ConfigError> {
    let Some(path) = variable("EDGE_CONFIG") else {
        let stray = ["EDGE_LISTEN", "EDGE_DISCOVERY"].into_iter().any(|name| variable(name).is_some());
        return match stray {
            true => error("EDGE_CONFIG", "missing, though other EDGE variables are set"),
            false => Ok(None),
        };
    };
    let text = read(Path::new(&path), "EDGE_CONFIG")?;
    let json: Value =
        serde_json::from_str(&text).or_else(|e| error("EDGE_CONFIG", format!("not JSON: {e}")))?;
    from_json(&json, &variable).map(Some)
}

/// Validates the sections in this order, so that the error names the first faulty one.
fn from_json(json: &Value, variable: &impl Fn(&str) -> Option<String>) -> Result<Platform, ConfigError> {
    let source = Source { json, variable };
    let listen = source.address("listen", "EDGE_LISTEN")?;
    let ops = match source.is_set("ops", "EDGE_OPS") {
        true => Some(source.address("ops", "EDGE_OPS")?),
        false => None,
    };
    let seed = seed(json)?;
    check_limits(json)?;
    let raw_settings = settings_section(json)?;
    let settings = checked_settings(raw_settings)?;
    let discovery = discovery(&source)?;
    let name = match source.is_set("name", "EDGE_NAME") {
        true => Some(source.text("name", "EDGE_NAME")?),
        false => None,
    };
    Ok(Platform {
        name,
        listen,
        discovery,
        ops,
        state: state_directory(listen, variable("TMPDIR")),
        seed,
        bounds: bounds(json)?,
        known: json.get("known").cloned().unwrap_or(Value::Null),
        zones: names(raw_settings, "zones"),
        kinds: names(raw_settings, "kinds"),
        tenants: names(raw_settings, "tenants"),
        classes: names(raw_settings, "services"),
        conn_idle: idle_timeout(raw_settings),
        prices: prices(raw_settings, &settings),
        settings,
    })
}

/// Source of values: the file, and the environment for keys that it lacks.
struct Source<'a, V> {
    json: &'a Value,
    variable: &'a V,
}

impl<V: Fn(&str) -> Option<String>> Source<'_, V> {
    fn is_set(&self, key: &str, variable: &str) -> bool {
        self.json.get(key).is_some() || (self.variable)(variable).is_some()
    }

    fn text(&self, key: &str, variable: &str) -> Result<String, ConfigError> {
        match self.json.get(key) {
            Some(Value::String(text)) => Ok(text.clone()),
            Some(_) => error(key, "text wanted"),
            None => match (self.variable)(variable) {
                Some(text) => Ok(text),
                None => error(key, format!("missing, as is {variable}")),
            },
        }
    }

    fn address(&self, key: &str, variable: &str) -> Result<SocketAddr, ConfigError> {
        let text = self.text(key, variable)?;
        text.parse().or_else(|_| error(key, format!("{text:?} is no address:port")))
    }
}

fn seed(json: &Value) -> Result<u64, ConfigError> {
    match json.get("seed") {
        None => Ok(0),
        Some(Value::String(digits)) => {
            u64::from_str_radix(digits, SEED_RADIX).or_else(|_| error("seed", "hexadecimal digits wanted"))
        }
        Some(other) => other.as_u64().map_or_else(|| error("seed", "a number wanted"), Ok),
    }
}

fn check_limits(json: &Value) -> Result<(), ConfigError> {
    match json.get("limits") {
        None | Some(Value::Null | Value::Object(_)) => Ok(()),
        Some(other) => error("limits", format!("an object wanted, not {other}")),
    }
}

fn bounds(json: &Value) -> Result<Bounds, ConfigError> {
    let sockets = limit(json, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS)?;
    let memory_mb = limit(json, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB as f64)?;
    Ok(Bounds::new(sockets, memory_mb))
}

fn limit(json: &Value, key: &str, default: usize, least: f64) -> Result<usize, ConfigError> {
    let value = match json.get("limits").and_then(|limits| limits.get(key)) {
        None | Some(Value::Null) => return Ok(default),
        Some(value) => value,
    };
    match value.as_f64() {
        Some(number) if (least..=MAX_LIMIT).contains(&number) => Ok(number as usize),
        _ => error(format!("limits.{key}"), format!("a number from {least} to {MAX_LIMIT} wanted")),
    }
}

fn settings_section(json: &Value) -> Result<&Value, ConfigError> {
    match json.get("settings") {
        Some(settings) if settings.is_object() => Ok(settings),
        _ => error("settings", "an object wanted"),
    }
}

fn checked_settings(raw_settings: &Value) -> Result<Settings, ConfigError> {
    glenrail_settings::parse_settings_strict(raw_settings)
        .or_else(|fault| error(format!("settings.{}", fault.key), fault.requirement))
}

fn discovery<V: Fn(&str) -> Option<String>>(source: &Source<V>) -> Result<String, ConfigError> {
    let discovery = source.text("discovery", "EDGE_DISCOVERY")?;
    if !is_host_and_port(&discovery) {
        return error("discovery", format!("{discovery:?} is no host:port"));
    }
    Ok(discovery)
}

fn is_host_and_port(text: &str) -> bool {
    let Some((host, port)) = text.rsplit_once(':') else { return false };
    host.parse::<http::uri::Authority>().is_ok() && port.parse::<u16>().is_ok_and(|port| port > 0)
}

fn state_directory(listen: SocketAddr, temporary: Option<String>) -> PathBuf {
    let parent = temporary.map_or_else(std::env::temp_dir, PathBuf::from);
    parent.join(format!("glenrail-{}", listen.to_string().replace(':', "-")))
}

/// Returns the names in a list of the settings, whose items are names or objects with a name.
fn names(raw_settings: &Value, key: &str) -> Vec<String> {
    let name = |item| glenrail_settings::entry_name(item).unwrap_or_default().to_string();
    glenrail_settings::list(raw_settings, key).iter().map(name).collect()
}

fn idle_timeout(raw_settings: &Value) -> Duration {
    let milliseconds = raw_settings["policy-limits"]["conn-idle"].as_f64().filter(|value| *value > 0.0);
    duration(milliseconds.unwrap_or(DEFAULT_IDLE_TIMEOUT_MS))
}

fn prices(raw_settings: &Value, settings: &Settings) -> Prices {
    let price = |key: &str| raw_settings["prices"][key].as_f64().unwrap_or(0.0);
    Prices {
        probe: price("probe"),
        handshake: price("handshake"),
        discovery: price("discovery"),
        cell_transfer: settings.prices.cell_transfer,
        waste: price("waste"),
    }
}

#[cfg(test)]
mod tests;
