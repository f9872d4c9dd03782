//! A list of servers as discovery writes it, and how the rest of the gateway is told of it.

use deckhub::{Member, Scope, ServerState};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::core::{Clock, Core, Upstream};
use crate::engine::{Address, Engine};
use crate::log;

/// Words for a server's state; any other means that it is gone.
const SERVING: &str = "SERVING";
const DRAINING: &str = "DRAINING";

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct List {
    pub seq: u64,
    pub whole: bool,
    #[serde(deserialize_with = "readable")]
    pub hosts: Vec<Host>,
}

/// The lines of a list that can be used, in order. One that cannot be read must not cost the others, and of two lines for
/// one engine the later holds; both are named in the log.
fn readable<'de, D: Deserializer<'de>>(lines: D) -> Result<Vec<Host>, D::Error> {
    let mut hosts: Vec<Host> = Vec::new();
    for line in Vec::<Value>::deserialize(lines)? {
        let name = line.get("host").map_or("no name".into(), Value::to_string);
        let host = match Host::deserialize(line) {
            Ok(host) if host.host.is_empty() => Err("no name".to_string()),
            Ok(host) if host.dial.is_empty() && !host.gone() => Err("no address to dial".into()),
            Ok(host) => Ok(host),
            Err(e) => Err(e.to_string()),
        };
        match host {
            Err(e) => log!("discovery: a line is left out: {name}: {e}"),
            Ok(host) => {
                if let Some(at) = hosts.iter().position(|h| h.host == host.host) {
                    log!("discovery: {name} is listed twice, the later line holds");
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
pub struct Host {
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
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

fn index(v: &Value, names: &[String]) -> Option<u32> {
    match v {
        Value::String(s) => names.iter().position(|n| n == s).map(|i| i as u32).or_else(|| s.parse().ok()),
        other => other.as_u64().map(|n| n as u32),
    }
}

impl Host {
    /// Whether this line says that the server has left the list.
    pub fn gone(&self) -> bool {
        self.state() == ServerState::Gone
    }
    fn state(&self) -> ServerState {
        match self.health.as_str() {
            SERVING => ServerState::Ready,
            DRAINING => ServerState::Draining,
            _ => ServerState::Gone,
        }
    }
    /// Says of a listed server that it drains.
    pub fn drain(&mut self) {
        if !self.gone() {
            self.health = DRAINING.into();
        }
    }
    /// The same number at every gateway: it depends on the name, not on where this gateway dials it.
    fn member(&self, names: &Names, clock: &Clock) -> Member {
        let kind = index(&self.class, &names.kinds);
        if kind.is_none() {
            log!("discovery: {} is of no known kind: {}", self.host, self.class);
        }
        Member {
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
pub fn apply<U: Upstream>(
    list: &List, scope: Scope, names: &Names, clock: &Clock, engine: &Engine, core: &Core<U>,
) {
    let members: Vec<Member> = list.hosts.iter().map(|h| h.member(names, clock)).collect();
    let (mut changed, mut gone) = (Vec::new(), Vec::new());
    for (host, m) in list.hosts.iter().zip(&members) {
        match m.state {
            ServerState::Gone => gone.push(m.server),
            state => changed.push(Address {
                server: m.server,
                dial: host.dial.clone(),
                serving: state == ServerState::Ready,
            }),
        }
    }
    engine.learn(scope != Scope::Delta, &changed, &gone);
    core.members(scope, members);
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    /// Guards the other lines of a list against one that cannot be read, and a server against standing in it twice.
    #[test]
    fn a_line_that_cannot_be_read_costs_no_other() {
        let text = r#"{"seq": 7, "whole": true, "hosts": [
            {"host": "s-1", "dial": "127.0.0.1:1", "health": "SERVING"},
            {"host": "s-2", "dial": "127.0.0.1:2", "health": "SERVING", "share": "much"},
            {"host": "s-3", "health": "SERVING"},
            {"host": 4, "dial": "127.0.0.1:4"},
            "s-5",
            {"dial": "127.0.0.1:6", "health": "SERVING"},
            {"host": "s-7", "health": "DELETED"},
            {"host": "s-1", "dial": "127.0.0.1:8", "health": "DRAINING"}]}"#;
        let list: List = serde_json::from_str(text).expect("a list");
        let lines: Vec<(&str, &str)> = list.hosts.iter().map(|h| (&*h.host, &*h.dial)).collect();
        assert_eq!((list.seq, lines), (7, vec![("s-7", ""), ("s-1", "127.0.0.1:8")]));
        assert!(list.hosts[0].gone() && list.hosts[1].state() == ServerState::Draining);
    }

    /// Guards the hash that all gateways must share: a server is its `host`, wherever this gateway dials it.
    #[test]
    fn a_server_is_named_by_its_host_and_described_in_the_settings_words() {
        let names = Names { zones: vec!["dc".into()], kinds: vec!["read".into(), "write".into()] };
        let clock = Clock::new(Duration::from_secs(100));
        let line = |line: &str| {
            Host::deserialize(serde_json::from_str::<Value>(line).expect("JSON")).expect("a line")
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
