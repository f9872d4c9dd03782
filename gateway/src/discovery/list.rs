//! A list of servers as discovery writes it, and how the rest of the gateway is told of it.

use std::collections::BTreeMap;

use glenrail_router::{ListUpdate, ServerEntry, ServerState};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::core::{Clock, Core, Upstream};
use crate::engine::{Engine, ServerAddress};
use crate::log;

/// Words for a server's state; any other means that it is gone.
const SERVING: &str = "SERVING";
const DRAINING: &str = "DRAINING";

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct EndpointList {
    pub seq: u64,
    pub whole: bool,
    #[serde(deserialize_with = "readable")]
    pub hosts: Vec<Endpoint>,
}

impl EndpointList {
    /// Reads a list with any white space in it. A byte that is no text spoils its own line only.
    pub fn read(bytes: &[u8]) -> serde_json::Result<EndpointList> {
        serde_json::from_str(&String::from_utf8_lossy(bytes))
    }
}

/// The lines of a list that can be used, in order. One that cannot be read must not cost the others, and of two lines for
/// one engine the later holds; both are named in the log.
fn readable<'de, D: Deserializer<'de>>(lines: D) -> Result<Vec<Endpoint>, D::Error> {
    let mut hosts: Vec<Endpoint> = Vec::new();
    for line in Option::<Vec<Box<RawValue>>>::deserialize(lines)?.unwrap_or_default() {
        match Endpoint::read(&line) {
            Err(e) => {
                let line = line.get().split_whitespace().collect::<Vec<_>>().join(" ");
                log!("discovery: a line is left out: {line:.200}: {e}");
            }
            Ok(host) => {
                if let Some(at) = hosts.iter().position(|h| h.host == host.host) {
                    log!("discovery: {} is listed twice, the later line holds", host.host);
                    hosts.remove(at);
                }
                hosts.push(host);
            }
        }
    }
    Ok(hosts)
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Endpoint {
    pub host: String,
    pub dial: String,
    site: Value,
    class: Value,
    block: Value,
    health: String,
    share: Option<f64>,
    pub born_ms: f64,
}

/// The deployment's own words, by which a list names zones and kinds.
pub struct SettingsNames {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

fn index(v: &Value, names: &[String]) -> Option<u32> {
    match v {
        Value::String(s) => names.iter().position(|n| n == s).map(|i| i as u32).or_else(|| s.parse().ok()),
        other => other.as_u64().map(|n| n as u32),
    }
}

/// Why a line cannot be used.
#[derive(Debug, thiserror::Error)]
enum Unusable {
    #[error("{0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("no name")]
    NoName,
    #[error("no address to dial")]
    NoAddress,
}

impl Endpoint {
    /// Reads a line. A field that is null is as good as left out, and a faulty one spoils the line; but where that line
    /// says that its server is to get nothing new, this much is taken.
    fn read(line: &RawValue) -> Result<Endpoint, Unusable> {
        let raw: BTreeMap<String, Box<RawValue>> = serde_json::from_str(line.get())?;
        let value = |raw: &RawValue| serde_json::from_str::<Value>(raw.get());
        let good = raw.iter().filter_map(|(name, raw)| Some((name.clone(), value(raw).ok()?)));
        let good: Map<String, Value> = good.filter(|(_, v)| !v.is_null()).collect();
        let word = |name: &str| good.get(name).and_then(Value::as_str).unwrap_or("").to_string();
        let (host, dial, health) = (word("host"), word("dial"), word("health"));
        let brief = Endpoint { host, dial, health, ..Endpoint::default() };
        let fault = raw.values().find_map(|raw| value(raw).err());
        let read = fault.map_or_else(|| Endpoint::deserialize(Value::Object(good)), Err);
        let host = match read {
            Err(e) if brief.health.is_empty() || brief.state() == ServerState::Ready => return Err(e.into()),
            read => read.unwrap_or(brief),
        };
        match host.state() {
            _ if host.host.is_empty() => Err(Unusable::NoName),
            ServerState::Ready if host.dial.is_empty() => Err(Unusable::NoAddress),
            _ => Ok(host),
        }
    }
    /// Whether this line says that the server has left the list.
    pub fn gone(&self) -> bool {
        self.state() == ServerState::Terminated
    }
    fn state(&self) -> ServerState {
        match self.health.as_str() {
            SERVING => ServerState::Ready,
            DRAINING => ServerState::Draining,
            _ => ServerState::Terminated,
        }
    }
    /// Says of a listed server that it drains.
    pub fn drain(&mut self) {
        if !self.gone() {
            self.health = DRAINING.into();
        }
    }
    /// The same number at every gateway: it depends on the name, not on where this gateway dials it.
    fn member(&self, names: &SettingsNames, clock: &Clock) -> ServerEntry {
        let kind = index(&self.class, &names.kinds);
        if kind.is_none() {
            log!("discovery: {} is of no known kind: {}", self.host, self.class);
        }
        ServerEntry {
            server: glenrail_settings::server_id(&self.host),
            zone: index(&self.site, &names.zones).unwrap_or(0),
            cell: index(&self.block, &[]).unwrap_or(0),
            kind: kind.unwrap_or(u32::MAX),
            state: self.state(),
            weight: self.share.unwrap_or(1.0),
            started: (self.born_ms > 0.0).then(|| clock.of_unix(self.born_ms)),
        }
    }
}

/// Gives a list to the engine client and the core.
pub fn apply_list<U: Upstream>(
    list: &EndpointList, scope: ListUpdate, names: &SettingsNames, clock: &Clock, engine: &Engine,
    core: &Core<U>,
) {
    let members: Vec<ServerEntry> = list.hosts.iter().map(|h| h.member(names, clock)).collect();
    let (mut changed, mut gone) = (Vec::new(), Vec::new());
    for (host, m) in list.hosts.iter().zip(&members) {
        match m.state {
            ServerState::Terminated => gone.push(m.server),
            state => changed.push(ServerAddress {
                server: m.server,
                address: host.dial.clone(),
                serving: state == ServerState::Ready,
                zone: m.zone,
                started_ms: host.born_ms as u64,
            }),
        }
    }
    engine.update_servers(scope != ListUpdate::Delta, &changed, &gone);
    core.update_servers(scope, members);
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use proptest::prelude::*;
    use serde_json::json;

    use super::*;

    /// Guards the other lines of a list, indented or not, against one that cannot be read, and a server against standing in
    /// it twice.
    #[test]
    fn a_line_that_cannot_be_read_costs_no_other() {
        let lines = [
            &br#"{"host": "s-1", "dial": "127.0.0.1:1", "health": "SERVING"}"#[..],
            br#"{"host": "s-2", "dial": "127.0.0.1:2", "health": "SERVING", "share": "much"}"#,
            br#"{"host": "s-3", "health": "SERVING"}"#,
            br#"{"host": 4, "dial": "127.0.0.1:4"}"#,
            br#""s-5""#,
            br#"{"dial": "127.0.0.1:6", "health": "SERVING"}"#,
            br#"{"host": "s-7", "dial": null, "health": "DELETED"}"#,
            br#"{"host": "s-8", "dial": "127.0.0.1:8", "health": "SERVING", "born_ms": 1e999}"#,
            b"{\"host\": \"s-9\", \"dial\": \"\xff\xfe\", \"health\": \"\\ud800\"}",
            br#"{"host": "s-1", "dial": "127.0.0.1:8", "health": "DRAINING", "born_ms": 1e999}"#,
            br#"{"host": "s-10", "dial": "127.0.0.1:10", "health": "SERVING", "site": null, "born_ms": null}"#,
        ];
        for between in [&b","[..], b",\n    ", b"\r\n\t,\r\n\t"] {
            let text = [
                b" {\n  \"seq\": 7,\n  \"whole\": true,\n  \"hosts\": [\n",
                &lines.join(between)[..],
                b"]\n}\n",
            ];
            let list = EndpointList::read(&text.concat()).expect("a list");
            let read: Vec<(&str, &str)> = list.hosts.iter().map(|h| (&*h.host, &*h.dial)).collect();
            assert_eq!((list.seq, list.whole), (7, true));
            assert_eq!(read, [("s-7", ""), ("s-1", "127.0.0.1:8"), ("s-10", "127.0.0.1:10")]);
            let states: Vec<ServerState> = list.hosts.iter().map(Endpoint::state).collect();
            assert_eq!(states, [ServerState::Terminated, ServerState::Draining, ServerState::Ready]);
        }
    }

    proptest! {
        /// Guards every list that can be written: indented or not, with any one line spoilt, all other lines are there.
        #[test]
        fn one_spoilt_line_costs_itself_only(
            names in prop::collection::btree_set("s-[0-9a-f]{8}", 1..20), at: prop::sample::Index, indented: bool,
            spoilt in prop::sample::select(vec![
                json!(null), json!(7), json!([]), json!({}), json!({"host": []}),
                json!({"host": "x", "dial": "127.0.0.1:1", "health": "SERVING", "born_ms": "long ago"}),
            ]),
        ) {
            let names: Vec<String> = names.into_iter().collect();
            let line = |name: &String| json!({"host": name, "dial": "127.0.0.1:1", "health": "SERVING"});
            let mut hosts: Vec<Value> = names.iter().map(line).collect();
            hosts.insert(at.index(hosts.len()), spoilt);
            let list = json!({"seq": 1, "whole": true, "hosts": hosts});
            let write = if indented { serde_json::to_vec_pretty } else { serde_json::to_vec };
            let list = EndpointList::read(&write(&list).expect("a list")).expect("a list");
            prop_assert_eq!(list.hosts.into_iter().map(|h| h.host).collect::<Vec<_>>(), names);
        }
    }

    /// Guards the hash that all gateways must share: a server is its `host`, wherever this gateway dials it.
    #[test]
    fn a_server_is_named_by_its_host_and_described_in_the_settings_words() {
        let names = SettingsNames { zones: vec!["dc".into()], kinds: vec!["read".into(), "write".into()] };
        let clock = Clock::new(Duration::from_secs(100));
        let line = |line: &str| {
            Endpoint::deserialize(serde_json::from_str::<Value>(line).expect("JSON")).expect("a line")
        };
        let a = line(
            r#"{"host": "s-1", "dial": "127.0.0.1:1", "site": "dc", "class": "write", "block": 3, "health": "SERVING",
                "share": 2.0, "born_ms": 104000}"#,
        );
        let b = line(
            r#"{"host": "s-1", "dial": "127.0.0.1:2", "health": "DRAINING", "class": "other", "new": 1}"#,
        );
        let [a, b] = [a, b].map(|host| host.member(&names, &clock));
        assert_eq!(a.server, b.server);
        assert_eq!((a.zone, a.kind, a.cell, a.weight, a.state), (0, 1, 3, 2.0, ServerState::Ready));
        assert_eq!((b.state, b.started, b.kind), (ServerState::Draining, None, u32::MAX));
        assert!((a.started.expect("a start") - 4_000.0).abs() < 1e-6);
    }
}
