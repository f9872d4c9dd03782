//! What the platform tells: a JSON file, and variables of the environment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use glenrail_access_log::counts::Prices;
use glenrail_router::Settings;
use serde_json::Value;

use super::{error, read, Error};
use crate::admin::CONNECTIONS;
use crate::front::server::REFUSING;

/// Descriptors of the process's own: standard streams, the runtime's, signals', listeners and their copies for a second
/// process (17 are open with both fronts), the call of discovery and the one after it, the fleet's, a file being read.
const OWN: usize = 24;
/// Each door has one more for a moment, between an accept and the close of whoever gives way.
const DOORS: usize = 2;

/// With fewer descriptors there is none left for servers beside the clients', and with less memory none for bodies.
const LEAST_SOCKETS: f64 = 40.0;
const LEAST_MEMORY_MB: f64 = 16.0;
/// When servers close idle connections where the settings do not say (ms): the soonest of all deployments.
const CONN_IDLE: f64 = 15_000.0;
/// Beyond this a limit is a mistake.
const MOST_LIMIT: f64 = 1e8;

/// Descriptors and memory that the process may use, and how they are shared out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub client_connections: usize,
    pub server_connections: usize,
    pub operators: usize,
    /// Bytes of request bodies held at once.
    pub bodies: usize,
}

impl Bounds {
    /// Whatever clients, engines and operators hold at once, the refusals at each door included, the process keeps its own.
    pub fn new(sockets: usize, memory_mb: usize) -> Self {
        let usable = sockets.saturating_sub(OWN + DOORS);
        let operators = (usable / 8).clamp(1, CONNECTIONS);
        let usable = usable.saturating_sub(operators + operators.min(REFUSING) + 1);
        // At a door as many more are being refused as it has connections, up to its bound.
        let share = (usable.saturating_sub(DOORS * REFUSING) / 2).max(usable / 3).max(2);
        Bounds {
            client_connections: share,
            server_connections: share,
            operators,
            bodies: memory_mb.max(16) * (1 << 20) / 4,
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds::new(1024, 192)
    }
}

/// What the platform tells a gateway.
#[derive(Debug)]
pub struct Platform {
    /// This gateway's, the same after a restart.
    pub name: Option<String>,
    pub listen: SocketAddr,
    pub discovery: String,
    /// Where operators call; off where it is left out.
    pub ops: Option<SocketAddr>,
    /// A directory of this gateway's own, which a second process at the same address shares.
    pub state: PathBuf,
    pub seed: u64,
    pub bounds: Bounds,
    /// The last list, in discovery's form.
    pub known: Value,
    pub settings: Settings,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub tenants: Vec<String>,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    pub conn_idle: Duration,
    /// What probes, connections and lists take off the deployment's result.
    pub prices: Prices,
}

/// Reads the platform's part from the environment; `None` where there is none.
pub fn platform(var: impl Fn(&str) -> Option<String>) -> Result<Option<Platform>, Error> {
    let Some(path) = var("EDGE_CONFIG") else {
        return match ["EDGE_LISTEN", "EDGE_DISCOVERY"].into_iter().find(|n| var(n).is_some()) {
            Some(_) => error("EDGE_CONFIG", "missing, though other EDGE variables are set"),
            None => Ok(None),
        };
    };
    let text = read(Path::new(&path), "EDGE_CONFIG")?;
    let v: Value = serde_json::from_str(&text)
        .map_err(|e| Error { key: "EDGE_CONFIG".into(), what: format!("not JSON: {e}") })?;
    from_json(&v, &var).map(Some)
}

fn from_json(v: &Value, var: &impl Fn(&str) -> Option<String>) -> Result<Platform, Error> {
    let text = |key: &str, name: &str| match v.get(key) {
        Some(Value::String(s)) => Ok(s.clone()),
        Some(_) => error(key, "text wanted"),
        None => var(name).ok_or(Error { key: key.into(), what: format!("missing, as is {name}") }),
    };
    let listen = text("listen", "EDGE_LISTEN")?;
    let address = |key: &str, text: &str| -> Result<SocketAddr, Error> {
        text.parse().or_else(|_| error(key, format!("{text:?} is no address:port")))
    };
    let listen = address("listen", &listen)?;
    let ops = match v.get("ops").is_some() || var("EDGE_OPS").is_some() {
        true => Some(address("ops", &text("ops", "EDGE_OPS")?)?),
        false => None,
    };
    let scratch = var("TMPDIR").map_or_else(std::env::temp_dir, PathBuf::from);
    let seed = match v.get("seed") {
        None => 0,
        Some(Value::String(s)) => {
            u64::from_str_radix(s, 16).or_else(|_| error("seed", "hexadecimal digits wanted"))?
        }
        Some(n) => n.as_u64().map_or_else(|| error("seed", "a number wanted"), Ok)?,
    };
    if let Some(v) = v.get("limits").filter(|l| !l.is_object() && !l.is_null()) {
        return error("limits", format!("an object wanted, not {v}"));
    }
    let limit = |key: &str, default: u64, least: f64| match v.get("limits").and_then(|l| l.get(key)) {
        None | Some(Value::Null) => Ok(default as usize),
        Some(n) => match n.as_f64() {
            Some(n) if (least..=MOST_LIMIT).contains(&n) => Ok(n as usize),
            _ => error(format!("limits.{key}"), format!("a number from {least} to {MOST_LIMIT} wanted")),
        },
    };
    let Some(raw) = v.get("settings").filter(|s| s.is_object()) else {
        return error("settings", "an object wanted");
    };
    let names = |key: &str| -> Vec<String> {
        let name = |v: &Value| v.as_str().or_else(|| v.get("name")?.as_str()).map(str::to_string);
        glenrail_settings::list(raw, key).iter().map(|v| name(v).unwrap_or_default()).collect()
    };
    let settings = glenrail_settings::checked(raw)
        .map_err(|fault| Error { key: format!("settings.{}", fault.key), what: fault.wanted })?;
    let price = |key: &str| raw["prices"][key].as_f64().unwrap_or(0.0);
    let idle = raw["policy-limits"]["conn-idle"].as_f64().filter(|ms| *ms > 0.0).unwrap_or(CONN_IDLE);
    let discovery = text("discovery", "EDGE_DISCOVERY")?;
    let place = discovery.rsplit_once(':').filter(|(host, _)| host.parse::<http::uri::Authority>().is_ok());
    if !place.is_some_and(|(_, port)| port.parse::<u16>().is_ok_and(|p| p > 0)) {
        return error("discovery", format!("{discovery:?} is no host:port"));
    }
    let name = match v.get("name").is_some() || var("EDGE_NAME").is_some() {
        true => Some(text("name", "EDGE_NAME")?),
        false => None,
    };
    Ok(Platform {
        name,
        listen,
        discovery,
        ops,
        state: scratch.join(format!("glenrail-{}", listen.to_string().replace(':', "-"))),
        seed,
        bounds: Bounds::new(
            limit("sockets", 1024, LEAST_SOCKETS)?,
            limit("memory_mb", 192, LEAST_MEMORY_MB)?,
        ),
        known: v.get("known").cloned().unwrap_or(Value::Null),
        zones: names("zones"),
        kinds: names("kinds"),
        tenants: names("tenants"),
        classes: names("services"),
        conn_idle: crate::core::duration(idle),
        prices: Prices {
            probe: price("probe"),
            handshake: price("handshake"),
            discovery: price("discovery"),
            moved: settings.prices.cell_transfer,
            waste: price("waste"),
        },
        settings,
    })
}

#[cfg(test)]
mod tests;
