//! The list of servers: first the one known, then a watch of discovery that never pauses for long.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use deckhub::{Discovery, Member, Scope, ServerState, Settings};
use glenrail_lifecycle::watch::{self as calls, Pauses, Watch as Calls};
use http::{header, Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

use crate::core::{duration, Clock, Core, Upstream};
use crate::engine::{Address, Engine};
use crate::log;

/// A watch is held no longer than this, so that a lost one is noticed soon.
const HOLD: Duration = Duration::from_millis(2_000);
/// A call must be answered so soon after its hold has passed; then it starts anew on a new connection.
const LATE: Duration = Duration::from_millis(1_000);
const CONNECT: Duration = Duration::from_millis(500);
/// Mean pause after a first failed call: short enough for the watch to go on as the same one.
const AGAIN: Duration = Duration::from_millis(100);
/// The longest mean pause: with a half more and a call's own time, a list that can be had again is here before what it
/// says counts as told (6 s, the protocol's figure).
const LONGEST: Duration = Duration::from_millis(2_500);
/// Where discovery has to be asked, each gateway is given so much of its time: a hundred that start together and call
/// within 5 s are all answered (measured; within 2 s a third of them are turned away, at once nearly all).
const TURN: Duration = Duration::from_millis(50);
/// Whoever has not asked for the settings' time, or for four times that after a call that failed, counts as told all the
/// same: calls come before this share of it, give or take the half by which pauses are drawn.
const ASKED_BY: f64 = 0.8;
const AFTER_FAILED: f64 = 4.0 / 1.5;
const LIST: usize = 4 << 20;
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
                zone: m.zone,
            }),
        }
    }
    engine.learn(scope != Scope::Delta, &changed, &gone);
    core.members(scope, members);
}

/// What the watch has cost: calls answered, the lines that came with them, calls that failed.
#[derive(Debug, Default)]
pub struct Tally {
    pub answered: Cell<u64>,
    pub lines: Cell<u64>,
    pub failed: Cell<u64>,
}

struct Watch {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(address: &str) -> Result<Watch, Failed> {
    let socket =
        timeout(CONNECT, TcpStream::connect(address)).await.map_err(|_| "no connection in time")??;
    let (sender, connection) = handshake(TokioIo::new(socket)).await?;
    let task = spawn_local(async move {
        // Whoever waits for the answer is told of the error.
        let _ = connection.await;
    });
    Ok(Watch { sender, task: task.abort_handle() })
}

/// Why a call brought no list, in words and as it is judged.
struct Failed(String, calls::Failed);

impl<T: ToString> From<T> for Failed {
    fn from(words: T) -> Self {
        Failed(words.to_string(), calls::Failed::Lost)
    }
}

fn judged<B>(answer: &Response<B>) -> calls::Failed {
    if !matches!(answer.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return calls::Failed::Lost;
    }
    let wanted = answer.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse().ok());
    calls::Failed::TurnedAway(wanted.and_then(|seconds: f64| Duration::try_from_secs_f64(seconds).ok()))
}

async fn call(watch: &mut Watch, address: &str, from: Option<u64>) -> Result<List, Failed> {
    let target = from.map_or("/v1/endpoints".to_string(), |seq| {
        format!("/v1/endpoints?from={seq}&hold_ms={}", HOLD.as_millis())
    });
    let request = Request::get(target).header(header::HOST, address).body(Empty::new());
    let answer = async {
        watch.sender.ready().await?;
        let response = watch.sender.send_request(request?).await?;
        if !response.status().is_success() {
            return Err(Failed(format!("status {}", response.status()), judged(&response)));
        }
        let body = Limited::new(response.into_body(), LIST).collect().await?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    };
    timeout(HOLD + LATE, answer).await.map_err(|_| "no answer in time")?
}

/// The calls of a gateway with this seed, one of as many as the settings say.
pub fn calls(settings: &Settings, seed: u64) -> Calls {
    let ask_within = duration(settings.rules.ask_within * ASKED_BY).max(AGAIN);
    let round = match settings.discovery {
        Discovery::Push => Duration::ZERO,
        Discovery::Subscribe => (TURN * settings.routers).min(ask_within),
    };
    let longest_round = ask_within.mul_f64(AFTER_FAILED);
    Calls::new(Pauses { first: AGAIN, most: LONGEST, round, longest_round }, seed)
}

/// Watches for as long as the process runs, from the version of the list that it began with. Where the address
/// changes, the call under way is given up at once, and the new place's whole list is the truth about what is gone.
pub async fn watch(
    mut address: watch::Receiver<String>, mut from: Option<u64>, mut calls: Calls, tally: Rc<Tally>,
    take: impl Fn(&List, Scope),
) {
    let mut open: Option<Watch> = None;
    let mut at = address.borrow_and_update().clone();
    // Whoever has a list can wait for its turn.
    let begin = if from.is_some() { calls.begin() } else { Duration::ZERO };
    tokio::select! {
        () = sleep(begin) => {}
        _ = address.changed() => address.mark_changed(),
    }
    loop {
        let told = address.borrow_and_update().clone();
        if told != at {
            log!("discovery: moved to {told}");
            (at, open, from) = (told, None, None);
        }
        let ask = async {
            let mut watch = match open.take() {
                Some(watch) => watch,
                None => connect(&at).await?,
            };
            let list = call(&mut watch, &at, from).await?;
            Ok::<_, Failed>((watch, list))
        };
        let answer = tokio::select! {
            biased;
            Ok(()) = address.changed() => continue,
            answer = ask => answer,
        };
        match answer {
            Ok((watch, list)) => {
                open = Some(watch);
                if calls.failures() > 0 {
                    log!("discovery: answers again, after {} calls that failed", calls.failures());
                }
                calls.answered();
                tally.answered.set(tally.answered.get() + 1);
                tally.lines.set(tally.lines.get() + list.hosts.len() as u64);
                let whole = list.whole || from.is_none();
                if whole || !list.hosts.is_empty() {
                    let (kind, lines) = (if whole { "whole" } else { "changes" }, list.hosts.len());
                    log!("discovery: version {}, {kind}, {lines} lines", list.seq);
                    take(&list, if whole { Scope::Full } else { Scope::Delta });
                }
                from = Some(list.seq);
            }
            Err(Failed(e, why)) => {
                let pause = calls.failed(why);
                tally.failed.set(tally.failed.get() + 1);
                log!("discovery: {e}; asked again in {} ms", pause.as_millis());
                sleep(pause).await;
            }
        }
    }
}

#[cfg(test)]
mod tests {
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

    /// Guards discovery against a hundred gateways that start together: each draws its moment, whoever is turned away comes
    /// back later, and a gateway alone, or where the list is pushed, waits for nothing.
    #[test]
    fn calls_are_spread_where_discovery_has_to_be_asked() {
        let settings = |v: serde_json::Value| glenrail_settings::settings(&v);
        let asked = |n: u32| {
            settings(serde_json::json!({"balancers": n, "discovery": "subscribe",
            "rules": {"ask-within": 10_000.0}}))
        };
        let begin = |n: u32, seed| super::calls(&asked(n), seed).begin();
        let latest = (1..=100).map(|seed| begin(100, seed)).max().expect("a call");
        assert!((Duration::from_secs(4)..Duration::from_secs(5)).contains(&latest), "{latest:?}");
        assert!((1..=100).all(|seed| begin(2, seed) < Duration::from_millis(100)));
        assert!((1..=300).all(|seed| begin(300, seed) < Duration::from_secs(8)), "before it counts as told");
        let pushed = settings(serde_json::json!({"balancers": 100, "rules": {"ask-within": 10_000.0}}));
        assert_eq!(super::calls(&pushed, 1).begin(), Duration::ZERO);
    }

    #[test]
    fn an_answer_is_judged_by_its_status() {
        let judge = |status: u16, after: Option<&str>| {
            let mut answer = Response::builder().status(status);
            if let Some(after) = after {
                answer = answer.header(header::RETRY_AFTER, after);
            }
            judged(&answer.body(()).expect("an answer"))
        };
        assert_eq!(judge(503, None), calls::Failed::TurnedAway(None));
        assert_eq!(judge(429, Some("1.5")), calls::Failed::TurnedAway(Some(Duration::from_millis(1_500))));
        assert_eq!(judge(503, Some("-1")), calls::Failed::TurnedAway(None));
        assert_eq!(judge(500, Some("1")), calls::Failed::Lost);
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
