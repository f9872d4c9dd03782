//! Clients that close, reset or half-close in the same wake-up of the program as whatever would have their request sent.
//! No attempt may begin for them any more, and what was held is let go.

mod common;

use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;

use common::crossing::*;
use common::gateway::*;
use common::member::wait;
use common::scripted::*;
use common::*;

const GOINGS: [Going; 3] = [Going::Closes, Going::Resets, Going::HalfCloses];

/// Each way of going, before and after the event that it crosses.
fn both_orders(test: impl Fn(Going, bool) + Sync) {
    std::thread::scope(|s| {
        for going in GOINGS {
            let test = &test;
            s.spawn(move || [false, true].map(|first| test(going, first)));
        }
    });
}

/// Carries out two things in this order, or in the other.
fn in_order(swap: bool, one: impl FnOnce(), other: impl FnOnce()) {
    if swap {
        other();
        one();
    } else {
        one();
        other();
    }
}

fn release(_: usize, line: &str) -> Says {
    if line.starts_with("DELETE") { EMPTY } else { EVENTS }.into()
}

/// Guards the engine from a request whose connection came up just as its client went: also where the deployment lets no
/// attempt be called back, since nothing of it is out yet.
#[test]
fn a_request_whose_client_disconnects_while_connecting_is_not_sent() {
    for cancel in [true, false] {
        both_orders(|going, first| {
            let mut reader = Full::start();
            let writer = Engine::start(release);
            let name = format!("gone-dial-{going:?}-{first}-{cancel}");
            let program = Program::start(&name, &[reader.address()], &[writer.address], cancel);
            let client = Client::ask(program.front, "a1");
            reader.dialled();
            program.stop();
            let (mut attempt, mut left) = (None, None);
            in_order(first, || attempt = Some(reader.accept()), || left = client.goes(going));
            program.go_on();
            let mut attempt = attempt.expect("a connection");
            assert_eq!(String::from_utf8_lossy(&rest(&mut attempt)), "", "{name}: {}", program.process.log());
            assert_eq!(writer.count("POST"), 0, "{name}: {}", program.process.log());
            drop(left);
        });
    }
}

/// A reader whose first answer waits for a word, and says when the request is there.
fn held_back(answer: &'static str) -> (Engine, std::sync::mpsc::Receiver<()>, Sender<()>) {
    let (here, at_barrier) = channel();
    let (go, told) = channel();
    let (here, told) = (Mutex::new(here), Mutex::new(told));
    let engine = Engine::start(move |n, line| match line.starts_with("DELETE") {
        true => EMPTY.into(),
        false if n == 0 => {
            here.lock().expect("a barrier").send(()).expect("somebody waits");
            told.lock().expect("a barrier").recv().expect("a word");
            answer.into()
        }
        false => READ.into(),
    });
    (engine, at_barrier, go)
}

/// A first answer, after which another attempt would follow, just as its client goes.
fn no_further_attempt(answer: &'static str, held: bool) {
    both_orders(|going, first| {
        let (reader, at_barrier, go) = held_back(answer);
        let writer = Engine::start(release);
        let name = format!("gone-{}-{going:?}-{first}", if held { "read" } else { "retry" });
        let program = Program::start(&name, &[reader.address], &[writer.address], true);
        let client = Client::ask(program.front, "a1");
        at_barrier.recv().expect("the first attempt");
        program.stop();
        let mut left = None;
        let answers = || {
            go.send(()).expect("it waits");
            wait("the answer", || (reader.answered() == 1).then_some(()));
        };
        in_order(first, answers, || left = client.goes(going));
        program.go_on();
        if held {
            wait("a release", || (reader.count("DELETE") + writer.count("DELETE") > 0).then_some(()));
        }
        // The next client's request shows that the program has had its turns; its own attempts are all that follow.
        drop(left);
        assert_eq!(final_answer(Client::ask(program.front, "a2")).0, 200, "{name}");
        assert_eq!((reader.count("POST"), writer.count("POST")), (2, 1), "{name}");
    });
}

/// Guards the writer: the state that was read for a client that has gone is let go, and nothing is written for it.
#[test]
fn a_request_whose_client_disconnects_as_its_prefill_ends_is_not_decoded() {
    no_further_attempt(READ, true);
}

/// Guards the retry of what was turned away.
#[test]
fn a_request_whose_client_disconnects_before_a_retry_is_not_retried() {
    no_further_attempt(DECLINED, false);
}

/// Guards the head of the queue: a request that was read together with its client's going is never begun.
#[test]
fn a_request_whose_client_has_disconnected_when_it_is_read_is_not_sent() {
    both_orders(|going, kept| {
        let reader = Engine::start(|_, line| if line.starts_with("DELETE") { EMPTY } else { READ }.into());
        let writer = Engine::start(release);
        let name = format!("gone-unread-{going:?}-{kept}");
        let program = Program::start(&name, &[reader.address], &[writer.address], kept);
        program.stop();
        let left = Client::ask(program.front, "a1").goes(going);
        program.go_on();
        drop(left);
        assert_eq!(final_answer(Client::ask(program.front, "a2")).0, 200, "{name}");
        assert_eq!((reader.count("POST"), writer.count("POST")), (1, 1), "{name}");
    });
}

/// Guards the queue: a client that goes while no server is there for its request is not sent on when one comes, in the same
/// wake-up or later.
#[test]
fn a_request_whose_client_disconnects_while_queued_is_not_sent() {
    for (going, seen) in GOINGS.into_iter().flat_map(|going| [(going, false), (going, true)]) {
        run(async {
            let reader = StandIn::start(|_, _| read()).await;
            let writer = StandIn::start(|_, _| stream()).await;
            let g = gateway(&[], &[&writer], None, 50).await;
            let client = Client::ask_as("item-query", g.address, "a1");
            until(|| g.pool.core.open_requests() == 1).await;
            // The thread is here until the going has reached the machine: nobody has read it.
            let left = client.goes(going);
            if seen {
                until(|| g.pool.core.is_idle()).await;
            }
            let hosts = vec![
                host("r", "prompt-side", &reader, "SERVING"),
                host("w0", "answer-side", &writer, "SERVING"),
            ];
            apply(&g.pool, glenrail_router::ListUpdate::Full, hosts);
            until(|| g.pool.core.is_idle()).await;
            assert_eq!(chat_as(&g, "a2").await.status(), 200);
            assert_eq!((reader.count("POST"), writer.count("POST")), (1, 1), "{going:?} {seen}");
            drop(left);
        });
    }
}

/// Guards a stream whose first event comes as its client goes: nothing further is sent, and its connection is closed.
#[test]
fn a_client_that_disconnects_at_the_first_token_cancels_its_attempt() {
    both_orders(|going, first| {
        let reader = Engine::start(|_, line| if line.starts_with("DELETE") { EMPTY } else { READ }.into());
        let (writer, at_barrier, go) = held_back(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
            9\r\ndata: a\n\n\r\n",
        );
        let name = format!("gone-first-{going:?}-{first}");
        let program = Program::start(&name, &[reader.address], &[writer.address], true);
        let client = Client::ask(program.front, "a1");
        at_barrier.recv().expect("the attempt");
        program.stop();
        let mut left = None;
        let answers = || {
            go.send(()).expect("it waits");
            wait("the answer", || (writer.answered() == 1).then_some(()));
        };
        in_order(first, answers, || left = client.goes(going));
        program.go_on();
        wait("the end of the attempt", || (writer.ended() == 1).then_some(()));
        assert_eq!((reader.count("POST"), writer.count("POST")), (1, 1), "{name}");
        drop(left);
    });
}
