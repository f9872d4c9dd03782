//! The one place where configuration is read, checked and given its defaults. Every error names the faulty key.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use deckhub::*;
use glenrail_story::counts::Prices;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What is wrong, and at which key.
#[derive(Debug, PartialEq)]
pub struct Error {
    pub key: String,
    pub what: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.what)
    }
}

fn error<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, Error> {
    Err(Error { key: key.into(), what: what.into() })
}

/// What the command line asks for.
#[derive(Debug, PartialEq)]
pub enum Command {
    Serve(Files),
    Import(PathBuf),
    Help,
}

/// Operators' files; what belongs to one that is not named is off.
#[derive(Debug, Default, PartialEq)]
pub struct Files {
    pub front: Option<PathBuf>,
    pub plugin: Option<PathBuf>,
    pub fleet: Option<PathBuf>,
}

pub const USAGE: &str = "\
usage: glenrail [--front FILE] [--plugin FILE] [--fleet FILE]
                                      serve: the platform's front where EDGE_CONFIG is set, the second front
                                      where --front is given, as a member of a fleet where --fleet is
       glenrail import-haproxy FILE   an HAProxy configuration as the second front's file
";

pub fn command(args: impl IntoIterator<Item = String>) -> Result<Command, Error> {
    let mut args = args.into_iter();
    let mut files = Files::default();
    while let Some(arg) = args.next() {
        let mut file = || args.next().map(PathBuf::from).ok_or(());
        match arg.as_str() {
            "--front" | "--plugin" | "--fleet" | "import-haproxy" => {
                let Ok(path) = file() else { return error(arg, "a file wanted") };
                match arg.as_str() {
                    "--front" => files.front = Some(path),
                    "--plugin" => files.plugin = Some(path),
                    "--fleet" => files.fleet = Some(path),
                    _ => return Ok(Command::Import(path)),
                }
            }
            "--help" | "-h" => return Ok(Command::Help),
            _ => return error(arg, "no such option"),
        }
    }
    Ok(Command::Serve(files))
}

/// Descriptors and memory that the process may use, and how they are shared out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub client_connections: usize,
    pub server_connections: usize,
    /// Bytes of request bodies held at once.
    pub bodies: usize,
}

impl Bounds {
    /// Some descriptors stay free for listeners, discovery, refusals and the runtime.
    pub fn new(sockets: usize, memory_mb: usize) -> Self {
        let usable = sockets.saturating_sub(64).max(16);
        Bounds {
            client_connections: usable / 2,
            server_connections: usable / 2,
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

fn read(path: &Path, key: &str) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| Error { key: key.into(), what: format!("cannot be read: {e}") })
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
    let limit = |key: &str, default: u64| match v.get("limits").and_then(|l| l.get(key)) {
        None => Ok(default as usize),
        Some(n) => match n.as_f64() {
            Some(n) if n >= 1.0 => Ok(n as usize),
            _ => error(format!("limits.{key}"), "a number of at least 1 wanted"),
        },
    };
    let Some(raw) = v.get("settings").filter(|s| s.is_object()) else {
        return error("settings", "an object wanted");
    };
    let names = |key: &str| -> Vec<String> {
        let name = |v: &Value| v.as_str().or_else(|| v.get("name")?.as_str()).map(str::to_string);
        glenrail_settings::list(raw, key).iter().map(|v| name(v).unwrap_or_default()).collect()
    };
    let settings = glenrail_settings::settings(raw);
    for (key, empty) in [
        ("settings.services", settings.classes.is_empty()),
        ("settings.domain.stage-of-kind", settings.kinds.is_empty()),
    ] {
        if empty {
            return error(key, "at least one entry wanted");
        }
    }
    if let Some(i) = settings.classes.iter().position(|c| c.deadline <= 0.0) {
        return error(format!("settings.services[{i}].deadline"), "milliseconds above 0 wanted");
    }
    let price = |key: &str| raw["prices"][key].as_f64().unwrap_or(0.0);
    let idle = raw["policy-limits"]["conn-idle"].as_f64().filter(|ms| *ms > 0.0).unwrap_or(30_000.0);
    let name = match v.get("name").is_some() || var("EDGE_NAME").is_some() {
        true => Some(text("name", "EDGE_NAME")?),
        false => None,
    };
    Ok(Platform {
        name,
        listen,
        discovery: text("discovery", "EDGE_DISCOVERY")?,
        ops,
        state: scratch.join(format!("glenrail-{}", listen.to_string().replace(':', "-"))),
        seed,
        bounds: Bounds::new(limit("sockets", 1024)?, limit("memory_mb", 192)?),
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
            moved: settings.prices.moved,
            waste: price("waste"),
        },
        settings,
    })
}

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
pub fn one_stage(pool: &Pool, deadline: Ms, repeatable: bool) -> Settings {
    let effect = if pool.repeatable.unwrap_or(repeatable) { Effect::Safe } else { Effect::Unsafe };
    let class =
        Class { aim: pool.aim_ms as Ms, deadline, worth: 1.0, late_worth: 0.1, effect, ..Class::default() };
    Settings {
        me: 0,
        routers: 1,
        zone: 0,
        tick: 1.0,
        kinds: vec![Kind { role: Role::Mixed, memory_tokens: 0.0 }],
        classes: vec![class],
        tenants: vec![],
        limits: Limits {
            max_attempts: pool.max_attempts,
            max_retry_after: 1_000.0,
            connect_timeout: pool.connect_ms as Ms,
            probes: false,
            cancel: true,
            second_copies: false,
            retry_after: true,
            peers: false,
            places_ahead: false,
        },
        rules: Rules {
            answer_grace: 50.0,
            drain_grace: 2_000.0,
            pin_limit: 500.0,
            cold: 13_000.0,
            cold_from: 0.31,
            fall: 3_000.0,
            fall_multiple: 4.0,
            ask_within: 10_000.0,
        },
        discovery: Discovery::Push,
        over_share_worth: 0.1,
        prices: deckhub::Prices::default(),
        resume: false,
        writers_read: false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn whole() -> Value {
        json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "settings": {"services": [{"name": "a", "deadline": 4000.0}], "kinds": ["r"],
                "domain": {"stage-of-kind": ["both"]}, "policy-limits": {"conn-idle": 9000.0}}})
    }

    #[test]
    fn the_platforms_configuration_is_read() {
        let read = from_json(&whole(), &|_| None).expect("a configuration");
        assert_eq!((read.seed, read.classes[0].as_str()), (0x8c1f_30d2_7a5b_e964, "a"));
        assert_eq!(read.conn_idle, Duration::from_secs(9));
        let b = read.bounds;
        assert!(b.client_connections + b.server_connections + 40 <= 1024 && b.bodies <= 64 << 20);
    }

    #[test]
    fn a_faulty_key_is_named() {
        for (key, value) in [
            ("listen", json!("here")),
            ("listen", json!(1)),
            ("discovery", json!(7)),
            ("ops", json!("there")),
            ("ops", json!(9)),
            ("name", json!(3)),
            ("seed", json!("xyz")),
            ("limits.sockets", json!({"sockets": "many"})),
            ("settings", json!(null)),
            ("settings.services", json!({"domain": {"stage-of-kind": ["read"]}})),
            (
                "settings.services[0].deadline",
                json!({"services": [{}], "domain": {"stage-of-kind": ["read"]}}),
            ),
        ] {
            let mut v = whole();
            v[key.split('.').next().expect("a key")] = value;
            assert_eq!(from_json(&v, &|_| None).expect_err(key).key, key);
        }
        let only = |n: &str| (n == "EDGE_LISTEN").then(|| "127.0.0.1:1".to_string());
        assert_eq!(platform(only).expect_err("an error").key, "EDGE_CONFIG");
        assert!(platform(|_| None).expect("nothing set").is_none());
    }

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

    #[test]
    fn the_command_line_is_read() {
        let parse = |line: &str| command(line.split_whitespace().map(str::to_string));
        assert_eq!(parse(""), Ok(Command::Serve(Files::default())));
        let fleet = Files { fleet: Some("f".into()), ..Files::default() };
        assert_eq!(parse("--fleet f"), Ok(Command::Serve(fleet)));
        assert_eq!(parse("import-haproxy f"), Ok(Command::Import("f".into())));
        assert_eq!(parse("--front").expect_err("an error").key, "--front");
        assert_eq!(parse("--nope").expect_err("an error").key, "--nope");
    }
}
