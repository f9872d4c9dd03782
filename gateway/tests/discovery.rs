//! The list of servers as discovery tells it: from the first moment of a process on, through silence and outages.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use common::gateway::*;
use common::*;
use glenrail::discovery;
use glenrail_router::ListUpdate;
use serde_json::{json, Value};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

const PUSHED: &str = "automatic";
const ASKED: &str = "subscribe";
/// Far above what a call on the same machine takes, far below what any pause or hold that must not be waited for takes.
const SOON: Duration = Duration::from_millis(1_500);

/// The calls of a gateway alone.
fn calls(mode: &str) -> glenrail_request_lifecycle::discovery_polling::PollSchedule {
    let settings = json!({"balancers": 1, "discovery": mode, "rules": {"ask-within": 10_000.0}});
    discovery::poll_schedule(&glenrail_settings::parse_settings(&settings), 1)
}

/// Has a gateway watch this agent from a version on, and says when it last took a list.
fn watched(g: &Gateway, agent: &StandIn, from: Option<u64>) -> Rc<Cell<Option<Instant>>> {
    let (pool, taken) = (g.pool.clone(), Rc::new(Cell::new(None)));
    let (address, seen) = (watch::Sender::new(agent.address.to_string()).subscribe(), taken.clone());
    spawn_local(discovery::watch(address, from, calls(PUSHED), Rc::default(), move |list, scope| {
        discovery::apply_list(list, scope, &names(), &pool.clock, &pool.engine, &pool.core);
        seen.set(Some(Instant::now()));
    }));
    taken
}

/// A list of a reader and two writers, of which one may drain.
fn listed(seq: u64, reader: &StandIn, writers: &[StandIn; 2], drains: Option<usize>) -> Value {
    let writer = |n: usize| {
        let health = if drains == Some(n) { "DRAINING" } else { "SERVING" };
        host(&format!("w{n}"), "answer-side", &writers[n], health)
    };
    let hosts = [host("r0", "prompt-side", reader, "SERVING"), writer(0), writer(1)];
    json!({"seq": seq, "whole": true, "hosts": hosts})
}

/// Sends a request of one conversation, and says which writer that is sent to.
async fn sent(g: &Gateway, writers: &[StandIn; 2]) -> usize {
    let before = writers[0].count("POST");
    assert_eq!(chat(g, "item-query", "10").await.status(), 200);
    usize::from(writers[0].count("POST") == before)
}

fn told(list: &Value) -> Act {
    Act::Answer(answer(200, &[], serde_json::to_string_pretty(list).expect("a list")))
}

async fn servers() -> (StandIn, [StandIn; 2]) {
    let writers = [StandIn::start(|_, _| stream()).await, StandIn::start(|_, _| stream()).await];
    (StandIn::start(|_, _| read()).await, writers)
}

/// Guards the watch where lists are asked for: it begins at the version known, the next call follows at once, a
/// whole list removes, and a call that breaks is made anew.
#[test]
fn discovery_is_watched_from_the_known_version_on() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let told = [
            json!({"seq": 5, "whole": false, "hosts": [host("w0", "answer-side", &server, "SERVING")]}),
            json!({"seq": 6, "whole": true, "hosts": [host("r1", "prompt-side", &server, "SERVING")]}),
        ];
        let agent = StandIn::start(move |n, _| match told.get(n) {
            Some(list) => Act::Answer(answer(200, &[], list.to_string())),
            None if n == 2 => Act::Break,
            None => Act::Silence,
        })
        .await;
        let g = gateway(&[&server], &[], None, 50).await;
        assert!(!g.pool.core.can_serve());
        let (pool, scopes) = (g.pool.clone(), Rc::new(RefCell::new(Vec::new())));
        let seen = scopes.clone();
        let mut served = Vec::new();
        let watching = discovery::watch(
            watch::Sender::new(agent.address.to_string()).subscribe(),
            Some(4),
            calls(ASKED),
            Rc::default(),
            move |list, scope| {
                discovery::apply_list(list, scope, &names(), &pool.clock, &pool.engine, &pool.core);
                seen.borrow_mut().push((scope, pool.core.can_serve()));
            },
        );
        tokio::select! {
            () = watching => {}
            () = until(|| agent.seen.borrow().len() == 4) => {}
        }
        served.extend(scopes.borrow().iter().copied());
        assert_eq!(served, [(ListUpdate::Delta, true), (ListUpdate::Full, false)]);
        let paths: Vec<String> = agent.seen.borrow().iter().map(|s| s.path.clone()).collect();
        let from = |seq: u32| format!("/v1/endpoints?from={seq}&hold_ms=2000");
        assert_eq!(paths, [from(4), from(5), from(6), from(6)]);
    });
}

/// Guards a new configuration: the watch moves at once though the old place's call hangs, asks the new one for its
/// whole list, and takes that as the truth; in the meantime the old list serves on.
#[test]
fn a_new_discovery_address_is_polled_for_the_full_list() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let (old, new) = (StandIn::start(|_, _| Act::Silence).await, {
            let list =
                json!({"seq": 2, "whole": true, "hosts": [host("r9", "prompt-side", &server, "SERVING")]});
            StandIn::start(move |n, _| match n {
                0 => Act::Answer(answer(200, &[], list.to_string())),
                _ => Act::Silence,
            })
            .await
        });
        let g = gateway(&[&server], &[&server], None, 50).await;
        let (pool, address) = (g.pool.clone(), watch::Sender::new(old.address.to_string()));
        let watching = discovery::watch(
            address.subscribe(),
            Some(70),
            calls(PUSHED),
            Rc::default(),
            move |list, scope| {
                assert_eq!(scope, ListUpdate::Full);
                discovery::apply_list(list, scope, &names(), &pool.clock, &pool.engine, &pool.core);
            },
        );
        let moved = async {
            until(|| old.seen.borrow().len() == 1).await;
            assert!(g.pool.core.can_serve());
            address.send_replace(new.address.to_string());
            until(|| new.seen.borrow().len() == 2).await;
        };
        tokio::select! {
            () = watching => {}
            () = moved => {}
        }
        assert!(!g.pool.core.can_serve(), "only a reader is left");
        let paths: Vec<String> = new.seen.borrow().iter().map(|s| s.path.clone()).collect();
        assert_eq!(paths, ["/v1/endpoints", "/v1/endpoints?from=2&hold_ms=1000"]);
        assert_eq!(old.seen.borrow().len(), 1);
    });
}

/// Guards a new process: what it was started with may be old, and what its agent has counts as told from its first moment
/// on. So the whole list is asked for at once, and a server that drains by it gets nothing new.
#[test]
fn a_new_process_polls_for_the_full_list_at_once() {
    run(async {
        let (reader, writers) = servers().await;
        let g = gateway(&[&reader], &[&writers[0], &writers[1]], None, 50).await;
        let usual = sent(&g, &writers).await;
        let list = listed(70, &reader, &writers, Some(usual));
        let agent = StandIn::start(move |n, _| if n == 0 { told(&list) } else { Act::Silence }).await;
        let (began, taken) = (Instant::now(), watched(&g, &agent, Some(70)));
        until(|| taken.get().is_some()).await;
        assert!(taken.get().expect("a list") - began < SOON);
        assert_eq!(agent.seen.borrow()[0].path, "/v1/endpoints");
        for _ in 0..10 {
            assert_eq!(sent(&g, &writers).await, 1 - usual);
        }
    });
}

/// Guards a watch as one and the same: its next call must come within 200 ms of the last answer, lists to take or not. Half
/// of the calls may be held up by whatever else the machine does.
#[test]
fn the_next_poll_follows_a_response_at_once() {
    run(async {
        let (reader, writers) = servers().await;
        let g = gateway(&[&reader], &[&writers[0], &writers[1]], None, 50).await;
        let list = listed(5, &reader, &writers, None);
        let called = Rc::new(RefCell::new(Vec::new()));
        let calls = called.clone();
        let agent = StandIn::start(move |n, _| {
            calls.borrow_mut().push(Instant::now());
            match n {
                0..21 => told(&list),
                _ => Act::Silence,
            }
        })
        .await;
        watched(&g, &agent, None);
        until(|| called.borrow().len() == 22).await;
        let mut gaps: Vec<Duration> = called.borrow().windows(2).map(|w| w[1] - w[0]).collect();
        gaps.sort();
        assert!(gaps[10] < Duration::from_millis(50), "{gaps:?}");
    });
}

/// Guards an agent that has been sent nothing yet: the list known serves on until there is another.
#[test]
fn an_empty_list_removes_no_server() {
    run(async {
        let (reader, writers) = servers().await;
        let list = listed(71, &reader, &writers, None);
        let agent = StandIn::start(move |n, _| match n {
            0..3 => Act::Answer(answer(200, &[], r#"{"seq": 0, "whole": true, "hosts": []}"#)),
            3 => told(&list),
            _ => Act::Silence,
        })
        .await;
        let g = gateway(&[&reader], &[&writers[0], &writers[1]], None, 50).await;
        let taken = watched(&g, &agent, Some(70));
        until(|| agent.seen.borrow().len() == 3).await;
        assert!(g.pool.core.can_serve() && taken.get().is_none());
        until(|| taken.get().is_some()).await;
    });
}

/// Guards the hard case of the account: a watch falls silent while a server is drained. It is opened anew well before
/// what it missed counts as told (6 s), and from then on nothing new goes there.
#[test]
fn a_watch_that_stalls_during_a_drain_is_reopened() {
    run(async {
        let (reader, writers) = servers().await;
        let g = gateway(&[&reader], &[&writers[0], &writers[1]], None, 50).await;
        let usual = sent(&g, &writers).await;
        let first = listed(5, &reader, &writers, None);
        let then = listed(6, &reader, &writers, Some(usual));
        let agent = StandIn::start(move |n, _| match n {
            0 => told(&first),
            2 => told(&then),
            _ => Act::Silence,
        })
        .await;
        let taken = watched(&g, &agent, None);
        until(|| agent.seen.borrow().len() == 2).await;
        let (silent, first) = (Instant::now(), taken.get());
        while taken.get() == first {
            sent(&g, &writers).await;
            sleep(Duration::from_millis(20)).await;
        }
        assert!(silent.elapsed() < Duration::from_secs(4), "{:?}", silent.elapsed());
        for _ in 0..10 {
            assert_eq!(sent(&g, &writers).await, 1 - usual);
        }
    });
}

/// Guards the first moments after an outage: what the agent has counts as told as soon as it speaks again, and it does
/// not remember the calls that it left unanswered.
#[test]
fn after_an_outage_the_list_is_applied_at_once() {
    run(async {
        let (reader, writers) = servers().await;
        let first = listed(5, &reader, &writers, None);
        let then = listed(9, &reader, &writers, Some(1));
        let back = Rc::new(Cell::new(false));
        let speaks = back.clone();
        let agent = StandIn::start(move |n, _| match n {
            0 => told(&first),
            _ if speaks.take() => told(&then),
            _ => Act::Silence,
        })
        .await;
        let g = gateway(&[&reader], &[&writers[0], &writers[1]], None, 50).await;
        let taken = watched(&g, &agent, None);
        until(|| agent.seen.borrow().len() == 2).await;
        let first = taken.get();
        // Of a call begun every 3 s, the next would now be just under way.
        sleep(Duration::from_millis(3_500)).await;
        back.set(true);
        let since = Instant::now();
        until(|| taken.get() != first).await;
        assert!(since.elapsed() < SOON, "{:?}", since.elapsed());
    });
}

/// Guards a new configuration that comes while the old place is left alone: the new one is asked at once, and not after
/// the pause that the old one wanted.
#[test]
fn an_address_change_ends_a_backoff() {
    run(async {
        let (reader, writers) = servers().await;
        let full = || Act::Answer(answer(503, &[("retry-after", "20")], ""));
        let old = StandIn::start(move |_, _| full()).await;
        let list = listed(2, &reader, &writers, None);
        let new = StandIn::start(move |n, _| if n == 0 { told(&list) } else { Act::Silence }).await;
        let address = watch::Sender::new(old.address.to_string());
        let taken = Rc::new(Cell::new(false));
        let seen = taken.clone();
        let tally = Rc::new(discovery::DiscoveryMetrics::default());
        spawn_local(discovery::watch(address.subscribe(), None, calls(ASKED), tally.clone(), move |_, _| {
            seen.set(true);
        }));
        until(|| tally.failed_polls.get() == 1).await;
        let moved = Instant::now();
        address.send_replace(new.address.to_string());
        until(|| taken.get()).await;
        assert!(moved.elapsed() < SOON, "{:?}", moved.elapsed());
    });
}

/// Guards against a list that trickles: its call is given up for another.
#[test]
fn a_list_that_trickles_is_polled_again() {
    run(async {
        let (reader, writers) = servers().await;
        let list = listed(5, &reader, &writers, None);
        let agent = StandIn::start(move |n, _| match n {
            0 => Act::Slowly(vec![" "; 100], Duration::from_millis(200)),
            1 => told(&list),
            _ => Act::Silence,
        })
        .await;
        let g = gateway(&[&reader], &[&writers[0], &writers[1]], None, 50).await;
        let (began, taken) = (Instant::now(), watched(&g, &agent, None));
        until(|| taken.get().is_some()).await;
        assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    });
}
