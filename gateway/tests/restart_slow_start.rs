//! Ten processes of the program restarted at once beside two that run, just as a cold reader and a cold writer join: all
//! are ready, every request is answered, and what all of them send the cold ones stays within what the settings allow.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::gateway::host;
use common::member::{directory, Process};
use common::*;
use serde_json::{json, Value};
use tokio::task::spawn_local;

const GATEWAYS: usize = 12;
const RESTARTED: usize = 10;
/// A read takes so long. Each gateway has one client that waits for each answer, so no reader has more than 120 reads a
/// second, which is what one can do, and no gateway finds that one can do more.
const READ: Duration = Duration::from_millis(100);
const A_SECOND: f64 = 120.0;
/// What a cold server may get: within `FALL`, so many times its present capacity, which stays at its share for the test.
const FALL: Duration = Duration::from_millis(500);
const MULTIPLE: f64 = 1.0;
const COLD_FROM: f64 = 0.08;
const COLD_MS: f64 = 1e7;

type Times = Rc<RefCell<Vec<Instant>>>;

/// A server that notes when it is sent something, and says when asked that nothing is in hand.
async fn server(reads: bool) -> (StandIn, Times) {
    let times = Times::default();
    let noted = times.clone();
    let it = StandIn::start(move |_, seen| {
        if seen.method == "GET" || seen.path.starts_with("/kv/") {
            return Act::Answer(answer(200, &[("srv-load", "TEXT inflight=0, x0=0.1")], ""));
        }
        noted.borrow_mut().push(Instant::now());
        match reads {
            true => Act::Later(READ, answer(202, &[], r#"{"cached_tokens":4}"#)),
            false => stream(),
        }
    });
    (it.await, times)
}

fn configuration(name: &str, agent: &StandIn, known: &Value, probes: bool, seed: usize) -> Value {
    json!({"name": name, "listen": "127.0.0.1:0", "seed": format!("{seed:x}"), "discovery": agent.address.to_string(),
        "limits": {"memory_mb": 192, "sockets": 1024}, "known": known,
        "settings": {"balancers": GATEWAYS, "quantum": 4.0, "zones": ["dc"], "kinds": ["prompt-side", "answer-side"],
            "services": [{"name": "chat", "aim": 9000.0, "deadline": 20000.0, "semantics": "free"}],
            "domain": {"stage-of-kind": ["read", "write"], "tokens-by-kind": [2e5, 2e5], "pin-limit": 500.0},
            "policy-limits": {"max-attempts": 5, "cancel": true, "dial-timeout": 5000.0, "probes": probes},
            "rules": {"cold": COLD_MS, "cold-from": COLD_FROM, "fall": FALL.as_millis() as f64,
                "fall-multiple": MULTIPLE}}})
}

/// Starts a gateway in a directory of this test's own.
fn start(at: &Path, name: &str, config: &Value) -> Process {
    let (file, state) = (at.join(format!("{name}.json")), at.join(format!("{name}.state")));
    std::fs::create_dir_all(&state).expect("a directory");
    std::fs::write(&file, config.to_string()).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
    Process::start(command.env_clear().env("EDGE_CONFIG", file).env("TMPDIR", state))
}

async fn ready(address: SocketAddr) {
    loop {
        let request = http::Request::get("/ready").body(http_body_util::Full::default());
        if ask(address, request.expect("a request")).await.status() == 200 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// So many requests at each gateway, one after the other, each of a conversation of its own.
async fn clients(addresses: &[SocketAddr], round: usize, requests: usize) {
    let client = |n: usize, address: SocketAddr| async move {
        for i in 0..requests {
            let id = format!("{round:x}{n:03x}{i:04x}");
            let headers = [("req-id", &*id), ("req-kind", "chat"), ("req-key", &*id), ("req-deadline", "20")];
            let served = ask(address, post("/v1/chat/completions", &headers, "{}")).await;
            assert_eq!((served.status().as_u16(), served.body().as_deref()), (200, Some(STREAM.as_bytes())));
        }
    };
    let all: Vec<_> = addresses.iter().enumerate().map(|(n, a)| spawn_local(client(n, *a))).collect();
    for one in all {
        one.await.expect("a client that was served");
    }
}

/// The most that came within the window in which a cold server falls.
fn most(times: &Times) -> usize {
    let times = times.borrow();
    let within = |from: &Instant| times.iter().filter(|t| (*from..*from + FALL).contains(t)).count();
    times.iter().map(within).max().unwrap_or(0)
}

#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn cold_budget_is_kept(name: &'static str, probes: bool) {
    run(async move {
        let (reader, reads) = server(true).await;
        let (writer, _) = server(false).await;
        let (cold_reader, cold_reads) = server(true).await;
        let (cold_writer, cold_streams) = server(false).await;
        let joined = Rc::new(Cell::new(None));
        let listed = {
            let joined = joined.clone();
            move || {
                let mut hosts = vec![
                    host("r0", "prompt-side", &reader, "SERVING"),
                    host("w0", "answer-side", &writer, "SERVING"),
                ];
                if let Some(born) = joined.get() {
                    let new = [("r1", "prompt-side", &cold_reader), ("w1", "answer-side", &cold_writer)];
                    for (name, kind, at) in new {
                        let mut line = host(name, kind, at, "SERVING");
                        line["born_ms"] = json!(born);
                        hosts.push(line);
                    }
                }
                json!({"seq": hosts.len(), "whole": true, "hosts": hosts})
            }
        };
        let told = listed.clone();
        let agent = StandIn::start(move |_, seen| {
            let list = answer(200, &[], told().to_string());
            if seen.path.contains("from=") {
                Act::Later(Duration::from_millis(200), list)
            } else {
                Act::Answer(list)
            }
        })
        .await;
        let at = directory(name);
        let begin = |n: usize, seed: usize| {
            let name = format!("n{n}");
            start(&at, &name, &configuration(&name, &agent, &listed(), probes, seed))
        };
        let mut gateways: Vec<Process> = (0..GATEWAYS).map(|n| begin(n, n + 1)).collect();
        let addresses = |gateways: &[Process]| -> Vec<SocketAddr> {
            gateways.iter().map(|g| g.said("platform front on ").parse().expect("an address")).collect()
        };
        let before = addresses(&gateways);
        for address in &before {
            ready(*address).await;
        }
        clients(&before, 1, 8).await;
        assert!(!reads.borrow().is_empty(), "nothing was read");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
        joined.set(Some(born));
        gateways[..RESTARTED].iter_mut().for_each(Process::kill);
        for (n, gateway) in gateways[..RESTARTED].iter_mut().enumerate() {
            *gateway = begin(n, 100 + n);
        }
        let after = addresses(&gateways);
        for address in &after {
            tokio::time::timeout(Duration::from_secs(10), ready(*address)).await.expect("ready within 10 s");
        }
        clients(&after, 2, 24).await;
        let n = MULTIPLE * COLD_FROM * A_SECOND * FALL.as_secs_f64();
        let bound = n + 2.0 * n.sqrt() + 2.0;
        assert!(!cold_reads.borrow().is_empty(), "nobody sends the cold reader anything");
        for (what, times) in [("reads", &cold_reads), ("streams", &cold_streams)] {
            println!(
                "{name}: {} cold {what}, {} in a window of {bound:.1}",
                times.borrow().len(),
                most(times)
            );
            assert!((most(times) as f64) < bound, "{} {what} in a window, of {bound}", most(times));
        }
        let _ = std::fs::remove_dir_all(&at);
    });
}

/// Guards the sum where nobody can be asked, so that each gateway's credit alone holds it.
#[test]
fn ten_restarted_gateways_keep_the_slow_start_budget_by_credit() {
    cold_budget_is_kept("budget-credit", false);
}

/// The same where a cold server's own word lets a gateway send before it has a whole send of credit.
#[test]
fn ten_restarted_gateways_keep_the_slow_start_budget_by_probes() {
    cold_budget_is_kept("budget-word", true);
}
