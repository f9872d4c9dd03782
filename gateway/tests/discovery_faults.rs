//! What discovery has told, by the program itself: a drain beside a silence, a reset, an outage, a start and a new place.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::agent::Agent;
use common::deployed::*;
use common::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

const PUSHED: &str = "automatic";
const ASKED: &str = "subscribe";
/// Far above what an agent that answers needs, far below any hold, pause or time-out that must not be waited for twice.
const SOON: Duration = Duration::from_millis(1_500);
/// From when on discovery has told what it has (the protocol's figure).
const TOLD: Duration = Duration::from_millis(6_000);
/// The same after a new configuration.
const TOLD_AFTER_MOVE: Duration = Duration::from_millis(4_000);

/// The program before engines and an agent, by a list that it was started with.
async fn started(name: &str, mode: &str) -> (Engines, Agent, Deployed, SocketAddr, usize) {
    let engines = Engines::start().await;
    let agent = Agent::start(engines.list(5, None)).await;
    let gateway = Deployed::start(name, &config(agent.address, &engines.list(1, None), mode));
    let at = gateway.clients().await;
    agent.watched().await;
    let usual = engines.sent(at).await;
    (engines, agent, gateway, at, usual)
}

/// Waits until the program has taken this version, while clients go on.
async fn taken(gateway: &Deployed, version: u64) {
    let line = format!("discovery: version {version}, ");
    until(|| gateway.process.has_said(&line).is_some()).await;
}

/// Nothing new goes to this writer.
async fn spared(engines: &Engines, at: SocketAddr, writer: usize) {
    let before = engines.writers[writer].count("POST");
    for _ in 0..10 {
        assert_eq!(engines.sent(at).await, 1 - writer);
    }
    assert_eq!(engines.writers[writer].count("POST"), before);
}

async fn request(at: SocketAddr) -> TcpStream {
    let mut socket = TcpStream::connect(at).await.expect("a connection");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nreq-kind: order-chat\r\nreq-deadline: 9\r\n";
    let rest = "req-id: 77\r\nreq-key: 7f3a\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}";
    socket.write_all(format!("{head}{rest}").as_bytes()).await.expect("sent");
    socket
}

async fn answered(mut socket: TcpStream) {
    let mut text = String::new();
    socket.read_to_string(&mut text).await.expect("an answer");
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("[DONE]"), "{text}");
}

/// Guards a drain that is told in the very wake-up in which a request comes, whichever was first: that request is served,
/// and nothing after it goes there.
#[test]
fn a_drain_and_a_request_in_one_wake_up() {
    for first in ["list", "request"] {
        run(async {
            let (engines, agent, gateway, at, usual) = started(&format!("drain-{first}"), PUSHED).await;
            agent.watched().await;
            gateway.process.signal("-STOP");
            let drain = engines.list(6, Some(usual));
            let socket = match first {
                "list" => {
                    let written = agent.answers(1);
                    agent.has(drain);
                    written.await;
                    request(at).await
                }
                _ => {
                    let (socket, written) = (request(at).await, agent.answers(1));
                    agent.has(drain);
                    written.await;
                    socket
                }
            };
            gateway.process.signal("-CONT");
            answered(socket).await;
            taken(&gateway, 6).await;
            spared(&engines, at, usual).await;
        });
    }
}

/// Guards a watch that breaks in the very wake-up of a drain, just before or just after: the list is here at once.
#[test]
fn a_watch_that_is_reset_as_a_drain_begins() {
    for (name, mode) in [("reset-pushed", PUSHED), ("reset-asked", ASKED)] {
        for first in ["reset", "drain"] {
            run(async {
                let (engines, agent, gateway, at, usual) = started(&format!("{name}-{first}"), mode).await;
                agent.watched().await;
                gateway.process.signal("-STOP");
                let drain = engines.list(6, Some(usual));
                if first == "reset" {
                    agent.resets();
                    agent.has(drain);
                } else {
                    agent.has(drain);
                    agent.resets();
                }
                gateway.process.signal("-CONT");
                let since = Instant::now();
                taken(&gateway, 6).await;
                assert!(since.elapsed() < SOON, "{:?}", since.elapsed());
                spared(&engines, at, usual).await;
            });
        }
    }
}

/// Guards a drain some time after a reset: the watch that was opened anew hears of it at once.
#[test]
fn a_drain_after_a_reset_applies_at_once() {
    run(async {
        let (engines, agent, gateway, at, usual) = started("after-reset", PUSHED).await;
        let calls = agent.calls.borrow().len();
        agent.resets();
        until(|| agent.calls.borrow()[calls..].iter().any(|c| c.contains("from="))).await;
        agent.watched().await;
        let since = Instant::now();
        agent.has(engines.list(6, Some(usual)));
        taken(&gateway, 6).await;
        assert!(since.elapsed() < SOON, "{:?}", since.elapsed());
        spared(&engines, at, usual).await;
    });
}

/// Guards a drain that a watch misses because it has fallen silent: it is opened anew before what it missed counts as
/// told, though its connection stands.
#[test]
fn a_watch_that_is_silent_as_a_drain_begins() {
    for (name, mode) in [("silent-pushed", PUSHED), ("silent-asked", ASKED)] {
        run(async {
            let (engines, agent, gateway, at, usual) = started(name, mode).await;
            agent.watched().await;
            let since = Instant::now();
            agent.falls_silent();
            agent.has(engines.list(6, Some(usual)));
            // What was held is swallowed; every later call is answered.
            sleep(Duration::from_millis(50)).await;
            agent.speaks();
            taken(&gateway, 6).await;
            assert!(since.elapsed() < TOLD, "{:?}", since.elapsed());
            spared(&engines, at, usual).await;
        });
    }
}

/// Guards the return of an agent that let calls come up and said nothing to them for long: the list is here at once,
/// behind all the calls given up; and for a process that was started in the middle of it too.
#[test]
fn an_outage_with_a_start_in_it_ends_with_the_list_at_once() {
    run(async {
        let engines = Engines::start().await;
        let (socket, address) = reserved();
        let listener = socket.listen(1_024).expect("it listens");
        let known = config(address, &engines.list(1, None), PUSHED);
        let first = Deployed::start("outage", &known);
        let at = first.clients().await;
        let usual = engines.sent(at).await;
        until(|| first.process.has_said("8 failed polls").is_some()).await;
        let second = Deployed::start("outage-start", &known);
        let there = second.clients().await;
        assert!(ready(there, "/ready").await, "by the list known");
        until(|| second.process.has_said("8 failed polls").is_some()).await;
        let since = Instant::now();
        let _agent = Agent::on(listener, engines.list(6, Some(usual)));
        tokio::join!(taken(&first, 6), taken(&second, 6));
        assert!(since.elapsed() < SOON, "{:?}", since.elapsed());
        spared(&engines, at, usual).await;
        spared(&engines, there, usual).await;
    });
}

/// Guards drains that have to be kept within 250 ms: an agent that stops in the middle of an answer has fallen silent, and
/// is asked anew as soon as one that says nothing at all.
#[test]
fn an_agent_that_stalls_mid_response_is_polled_again_at_once() {
    run(async {
        let engines = Engines::start().await;
        let list = engines.list(6, Some(0)).to_string();
        let agent = StandIn::start(move |n, _| match n {
            0..12 => Act::Stuck("{\"seq\": 6, \"whole\": true, \"hosts\": ["),
            12 => Act::Answer(answer(200, &[], list.clone())),
            _ => Act::Silence,
        })
        .await;
        let since = Instant::now();
        let known = config(agent.address, &engines.list(1, None), PUSHED);
        let gateway = Deployed::start("stops", &known);
        taken(&gateway, 6).await;
        // 2.2 s by themselves; 12 s and more if each were given a second.
        assert!(since.elapsed() < TOLD, "{:?}", since.elapsed());
        spared(&engines, gateway.clients().await, 0).await;
    });
}

/// Guards the watch where discovery ends its connection with each answer: the next call opens another, and is no failure.
#[test]
fn a_watch_goes_on_over_connections_that_end() {
    run(async {
        let engines = Engines::start().await;
        let list = engines.list(6, None).to_string();
        let ends = [("connection", "close")];
        let agent = StandIn::start(move |n, _| match n {
            0 => Act::Answer(answer(200, &ends, list.clone())),
            _ => {
                let none = r#"{"seq": 6, "whole": false, "hosts": []}"#;
                Act::Later(Duration::from_millis(50), answer(200, &ends, none))
            }
        })
        .await;
        let gateway = Deployed::start("ends", &config(agent.address, &engines.list(1, None), PUSHED));
        until(|| agent.seen.borrow().len() == 6).await;
        let paths: Vec<String> = agent.seen.borrow().iter().map(|s| s.path.clone()).collect();
        assert!(paths[1..].iter().all(|path| path.contains("from=6")), "{paths:?}");
        assert_eq!(gateway.process.has_said("failed polls"), None);
    });
}

/// What a new place of discovery does with its first call.
#[derive(Clone, Copy, Debug)]
enum At {
    Refused,
    Silent,
    Half,
    TurnedAway,
}

/// Guards a new configuration whose discovery fails its first call in some way, while the old one is silent: its list is
/// here before it counts as told.
#[test]
fn a_new_address_that_fails_its_first_poll() {
    for mode in [PUSHED, ASKED] {
        for fault in [At::Refused, At::Silent, At::Half, At::TurnedAway] {
            run(async {
                let (engines, old, gateway, at, usual) =
                    started(&format!("hup-{mode}-{fault:?}"), mode).await;
                old.falls_silent();
                let list = engines.list(2, Some(usual)).to_string();
                let (socket, new) = reserved();
                gateway.reload(&config(new, &engines.list(1, None), mode));
                let since = Instant::now();
                if let At::Refused = fault {
                    until(|| gateway.process.has_said("discovery: Connection refused").is_some()).await;
                }
                let _new =
                    StandIn::on(socket.listen(64).expect("it listens"), move |n, _| match (n, fault) {
                        (0, At::Silent) => Act::Silence,
                        (0, At::Half) => Act::Stuck("{\"seq\": 2, \"whole\": true, \"hosts\": ["),
                        (0, At::TurnedAway) => Act::Answer(answer(503, &[("retry-after", "20")], "")),
                        (0 | 1, _) => Act::Answer(answer(200, &[], list.clone())),
                        _ => Act::Silence,
                    });
                taken(&gateway, 2).await;
                assert!(since.elapsed() < TOLD_AFTER_MOVE, "{fault:?}: {:?}", since.elapsed());
                spared(&engines, at, usual).await;
            });
        }
    }
}

/// Guards a new place against the old one's last word, which comes in the very wake-up of the signal: the new place's
/// list holds, whichever was first.
#[test]
fn a_new_address_and_the_old_ones_last_response_in_one_wake_up() {
    for first in ["signal", "list"] {
        run(async {
            let (engines, old, gateway, at, usual) = started(&format!("last-word-{first}"), PUSHED).await;
            old.watched().await;
            let new = Agent::start(engines.list(3, Some(usual))).await;
            let moved = config(new.address, &engines.list(1, None), PUSHED);
            gateway.process.signal("-STOP");
            let written = old.answers(1);
            if first == "signal" {
                gateway.reload(&moved);
            }
            old.has(engines.list(6, Some(1 - usual)));
            written.await;
            if first == "list" {
                gateway.reload(&moved);
            }
            gateway.process.signal("-CONT");
            new.watched().await;
            taken(&gateway, 3).await;
            spared(&engines, at, usual).await;
        });
    }
}

/// Guards a drain that the old place had written before the signal was taken in, both in one wake-up: it was told, so it holds
/// for as long as the new place says nothing; then the new place's list does.
#[test]
fn a_drain_seen_as_the_address_changes_holds_until_the_new_one_answers() {
    for (mode, first) in [(PUSHED, "signal"), (PUSHED, "list"), (ASKED, "signal"), (ASKED, "list")] {
        run(async {
            let (engines, old, gateway, at, usual) =
                started(&format!("told-as-moved-{mode}-{first}"), mode).await;
            old.watched().await;
            let new = Agent::start(engines.list(3, Some(1 - usual))).await;
            new.falls_silent();
            let moved = config(new.address, &engines.list(1, None), mode);
            gateway.process.signal("-STOP");
            let written = old.answers(1);
            if first == "signal" {
                gateway.reload(&moved);
            }
            old.has(engines.list(6, Some(usual)));
            written.await;
            if first == "list" {
                gateway.reload(&moved);
            }
            gateway.process.signal("-CONT");
            until(|| !new.calls.borrow().is_empty()).await;
            spared(&engines, at, usual).await;
            new.speaks();
            taken(&gateway, 3).await;
            spared(&engines, at, 1 - usual).await;
        });
    }
}

/// Guards whoever asked for changes and is told the whole list: who does not stand in it is gone, whether it drained before or
/// not, and a request in the same wake-up is served by who is left.
#[test]
fn a_full_list_where_changes_were_expected() {
    for mode in [PUSHED, ASKED] {
        for first in ["list", "request"] {
            run(async {
                let (engines, agent, gateway, at, usual) =
                    started(&format!("whole-{mode}-{first}"), mode).await;
                agent.watched().await;
                let mut list = engines.list(6, None);
                let gone = engines.list(6, None)["hosts"][1 + usual]["host"].clone();
                list["hosts"].as_array_mut().expect("a list").retain(|line| line["host"] != gone);
                gateway.process.signal("-STOP");
                let early = if first == "request" { Some(request(at).await) } else { None };
                let written = agent.answers(1);
                agent.has(list);
                written.await;
                let socket = match early {
                    Some(socket) => socket,
                    None => request(at).await,
                };
                gateway.process.signal("-CONT");
                answered(socket).await;
                taken(&gateway, 6).await;
                spared(&engines, at, usual).await;
                // Changes follow it: by them alone the one that is left out comes back, and the other goes.
                let mut changes = engines.list(7, None);
                changes["whole"] = false.into();
                let lines = changes["hosts"].as_array_mut().expect("a list");
                lines.remove(0);
                lines.iter_mut().filter(|line| line["host"] != gone).for_each(|line| {
                    line["health"] = "DELETED".into();
                });
                agent.watched().await;
                agent.has(changes);
                taken(&gateway, 7).await;
                spared(&engines, at, 1 - usual).await;
            });
        }
    }
}
