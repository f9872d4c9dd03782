//! A gateway of the platform's front before stand-in servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenrail::budget::Budget;
use glenrail::discovery::{self, EndpointList, SettingsNames};
use glenrail::engine::{EngineLimits, ServerApi};
use glenrail::front::{platform, server};
use glenrail::metrics::RequestMetrics;
use glenrail::plugin::Plugin;
use glenrail::pools::Pool;
use glenrail::shutdown::Shutdown;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, JoinHandle};

use super::{ask, post, StandIn, AGES};

pub struct Gateway {
    pub address: SocketAddr,
    pub pool: Pool,
    pub shutdown: Shutdown,
    pub accepting: JoinHandle<()>,
    pub counters: RequestMetrics,
}

pub fn host(name: &str, kind: &str, at: &StandIn, health: &str) -> serde_json::Value {
    json!({"host": name, "dial": at.address.to_string(), "site": "dc", "class": kind, "block": 3,
        "health": health, "share": 1.0, "born_ms": 0})
}

pub fn names() -> SettingsNames {
    SettingsNames { zones: vec!["dc".into()], kinds: vec!["prompt-side".into(), "answer-side".into()] }
}

pub fn apply(pool: &Pool, scope: glenrail_router::ListUpdate, hosts: Vec<serde_json::Value>) {
    let list: EndpointList =
        serde_json::from_value(json!({"seq": 1, "whole": true, "hosts": hosts})).expect("a list");
    discovery::apply_list(&list, scope, &names(), &pool.clock, &pool.engine, &pool.core);
}

/// A gateway before a reader and a writer.
pub async fn gateway(
    readers: &[&StandIn], writers: &[&StandIn], plugin: Option<&str>, cap: usize,
) -> Gateway {
    let settings = glenrail_settings::parse_settings(&json!({"balancers": 1, "quantum": 4.0,
        "services": [{"aim": 2000.0, "deadline": 10000.0, "semantics": "free"},
            {"aim": 2500.0, "deadline": 12000.0, "semantics": "single_shot"}],
        "domain": {"stage-of-kind": ["read", "write"], "tokens-by-kind": [200000, 200000], "pin-limit": 500.0},
        "policy-limits": {"max-attempts": 5, "cancel": true, "retry-after": true, "max-retry-after": 500.0},
        "rules": {"cold": 13000.0, "cold-from": 0.31, "fall": 3000.0, "fall-multiple": 4.0}}));
    let limits = EngineLimits {
        connect_timeout: Duration::from_secs(5),
        probes: false,
        idle_timeout: AGES,
        server_api: ServerApi::Platform,
    };
    let budget = Budget::new(64 << 20);
    let pool = Pool::new(3, settings, limits, Arc::new(Semaphore::new(100)), budget.clone());
    let mut hosts = Vec::new();
    for (i, r) in readers.iter().enumerate() {
        hosts.push(host(&format!("r{i}"), "prompt-side", r, "SERVING"));
    }
    for (i, w) in writers.iter().enumerate() {
        hosts.push(host(&format!("w{i}"), "answer-side", w, "SERVING"));
    }
    apply(&pool, glenrail_router::ListUpdate::Full, hosts);
    let plugin = plugin.map(|text| Rc::new(Plugin::compile(text).expect("a script")));
    let shutdown = Shutdown::default();
    let ready: Rc<dyn Fn() -> bool> = Rc::new({
        let (core, shutdown) = (pool.core.clone(), shutdown.clone());
        move || !shutdown.is_draining() && core.can_serve()
    });
    let names = platform::PlatformSettings {
        classes: vec![("item-query".into(), 10_000.0), ("order-chat".into(), 12_000.0)],
        tenants: vec![],
        max_retry_after: Duration::from_millis(500),
    };
    let classes = names.classes.iter().map(|c| c.0.clone());
    let counters = RequestMetrics::new(classes);
    let (entry, ending) = (pool.request_service(&plugin), shutdown.clone());
    let front = platform::Platform::new(names, budget, entry, ready, ending, counters.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accepting = spawn_local(server::serve(listener, front, cap, shutdown.clone()));
    Gateway { address, pool, shutdown, accepting, counters }
}

pub const CHAT: &str = "/v1/chat/completions";

pub fn headers(class: &'static str, deadline: &'static str) -> [(&'static str, &'static str); 5] {
    [
        ("req-id", "9b1f03aa5c7e2d41"),
        ("req-kind", class),
        ("req-key", "7f3a9c21e0b4d655"),
        ("req-deadline", deadline),
        ("req-extra", "prefix=5c0f6e1a2b3d4c59,prompt_len=1200,prefix_len=800,max_out=100"),
    ]
}

pub async fn chat(
    g: &Gateway, class: &'static str, deadline: &'static str,
) -> http::Response<Option<bytes::Bytes>> {
    ask(g.address, post(CHAT, &headers(class, deadline), "{\"model\": \"chat\"}")).await
}

/// A request beside others that are open, under an id of its own.
pub async fn chat_as(g: &Gateway, id: &'static str) -> http::Response<Option<bytes::Bytes>> {
    let mut headers = headers("item-query", "10");
    headers[0].1 = id;
    ask(g.address, post(CHAT, &headers, "{\"model\": \"chat\"}")).await
}
