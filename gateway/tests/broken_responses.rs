//! Engines whose answers are cut, come twice, never end or come in floods, before the built program: each request gets one
//! final answer, and only a whole stream looks whole.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::crossing::*;
use common::member::wait;
use common::scripted::*;

/// Guards the client from half an answer that looks like a whole one, and a class that may not be repeated from a second
/// run, wherever an engine's answer is cut, by an end and by a reset.
#[test]
fn a_broken_response_is_one_failure() {
    let cuts = [
        ("HTTP/1.1 200 OK\r\ncontent-ty", false),
        (&format!("{OPENING}1"), false),
        (&format!("{OPENING}9\r\ndata"), false),
        (&format!("{OPENING}9\r\ndata: a\n\n"), true),
        (&format!("{OPENING}{EVENT}9"), true),
        (&format!("{OPENING}{EVENT}9\r\ndata: b"), true),
        (&format!("{OPENING}{EVENT}{EVENT}"), true),
        (&format!("{OPENING}{EVENT}0\r\n"), true),
    ]
    .map(|(cut, begun): (&str, bool)| (cut.to_string(), begun));
    std::thread::scope(|s| {
        for (cut, begun) in cuts {
            s.spawn(move || {
                for resets in [false, true] {
                    let (reader, said) = (reader(), cut.clone());
                    let writer = Engine::start(move |_, line| match line.starts_with("DELETE") {
                        true => EMPTY.into(),
                        false if resets => Says::Resets(said.clone().into()),
                        false => Says::Ends(said.clone().into()),
                    });
                    let name = format!("cut-{}-{resets}", cut.len());
                    let program = Program::start(&name, &[reader.address], &[writer.address], true);
                    let (status, body) = final_answer(Client::ask_as("order", program.front, "a1"));
                    let whole = body.ends_with("0\r\n\r\n");
                    assert_eq!((status == 200, whole), (begun, false), "{cut:?} {resets}: {status} {body}");
                    assert_eq!(writer.count("POST"), 1, "{cut:?} {resets}");
                }
            });
        }
    });
}

/// Guards a stream that its engine has finished: its rest, which came while the gateway did not run, passes on to its end,
/// though the engine has closed or reset the connection since.
#[test]
fn a_finished_stream_is_forwarded_to_its_end() {
    for resets in [false, true] {
        let (go, told) = channel();
        let told = Mutex::new(told);
        let rest = format!("{}0\r\n\r\n", EVENT.repeat(1_000));
        let writer = Engine::start(move |_, line| {
            if line.starts_with("DELETE") {
                return EMPTY.into();
            }
            told.lock().expect("a barrier").recv().expect("a word");
            let all = format!("{OPENING}{rest}").into_bytes();
            if resets {
                Says::Resets(all)
            } else {
                Says::Ends(all)
            }
        });
        let reader = reader();
        let program =
            Program::start(&format!("finished-{resets}"), &[reader.address], &[writer.address], true);
        let client = Client::ask(program.front, "a1");
        wait("the attempt", || (writer.count("POST") == 1).then_some(()));
        program.stop();
        go.send(()).expect("it waits");
        wait("the engine's end", || (writer.ended() == 1).then_some(()));
        program.go_on();
        let (status, body) = final_answer(client);
        assert_eq!((status, body.matches("data: a").count()), (200, 1_000), "{resets}");
        assert!(body.ends_with("0\r\n\r\n"), "{resets}");
    }
}

/// An engine that answers well, but for the first request at any that share this spoilt answer.
fn spoilt_once(good: &'static str, spoilt: &Arc<Mutex<Option<String>>>) -> Engine {
    let spoilt = spoilt.clone();
    Engine::start(move |_, line| match line.starts_with("DELETE") {
        true => EMPTY.into(),
        false => spoilt.lock().expect("an answer").take().unwrap_or_else(|| good.into()).into(),
    })
}

/// Guards a request's time from an answer without an end: a reader's short answer, a writer's error and its first event
/// that do not go on after their head are given up soon, and the request is served elsewhere long before its deadline.
#[test]
fn a_response_that_never_ends_does_not_use_up_the_deadline() {
    let half_read = "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached".to_string();
    let half_error = "HTTP/1.1 500 Error\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n".to_string();
    let half_event = format!("{OPENING}9\r\ndata: a");
    for (name, at_reader, said) in
        [("read", true, half_read), ("error", false, half_error), ("event", false, half_event)]
    {
        let (spoilt, none) = (Arc::new(Mutex::new(Some(said))), Arc::default());
        let (at_readers, at_writers) = if at_reader { (&spoilt, &none) } else { (&none, &spoilt) };
        let readers = [(); 2].map(|()| spoilt_once(READ, at_readers));
        let writers = [(); 2].map(|()| spoilt_once(EVENTS, at_writers));
        let [readers_at, writers_at] = [&readers, &writers].map(|all| all.each_ref().map(|e| e.address));
        let program = Program::start(&format!("endless-{name}"), &readers_at, &writers_at, true);
        let from = Instant::now();
        let (status, body) = final_answer(Client::ask(program.front, "a1"));
        assert_eq!((status, body.ends_with("0\r\n\r\n")), (200, true), "{name}: {body}");
        // Its deadline is 25 s.
        assert!(from.elapsed() < Duration::from_secs(15), "{name}: {:?}", from.elapsed());
        assert!(spoilt.lock().expect("an answer").is_none(), "{name}");
    }
}

/// Guards both kinds of class where a kept connection's engine closes it as the next request is written: closed before a
/// byte is out, another connection takes the request, once; closed behind its last byte it may have run, so it is sent again
/// only where it may be repeated.
#[test]
fn an_idle_connection_that_closes_at_a_request_loses_and_duplicates_nothing() {
    for (class, closes_first) in [("chat", true), ("chat", false), ("order", true), ("order", false)] {
        let (go, told) = channel();
        let told = Arc::new(Mutex::new(told));
        let writer = Engine::start(move |n, line| match n {
            _ if line.starts_with("DELETE") => EMPTY.into(),
            0 => Says::ByHand(Box::new({
                let told = told.clone();
                move |socket: &mut TcpStream| {
                    socket.write_all(EVENTS.as_bytes()).expect("written");
                    // Or it stands for the next request.
                    told.lock().expect("a barrier").recv().expect("a word")
                }
            })),
            1 if !closes_first => Says::Ends(Vec::new()),
            _ => EVENTS.into(),
        });
        let reader = reader();
        let name = format!("kept-{class}-{closes_first}");
        let program = Program::start(&name, &[reader.address], &[writer.address], true);
        assert_eq!(final_answer(Client::ask_as(class, program.front, "a1")).0, 200);
        program.stop();
        let client = Client::ask_as(class, program.front, "a2");
        go.send(!closes_first).expect("it waits");
        wait("the barrier", || (writer.answered() == 1).then_some(()));
        if closes_first {
            wait("the close", || (writer.ended() == 1).then_some(()));
        }
        program.go_on();
        let repeats = class == "chat" && !closes_first;
        let lost = class == "order" && !closes_first;
        assert_eq!(final_answer(client).0, if lost { 502 } else { 200 }, "{name}");
        assert_eq!(writer.count("POST"), 2 + usize::from(repeats), "{name}");
    }
}

/// Guards a request whose engine's connection comes up a second late: it goes out there, once.
#[test]
fn a_connection_that_opens_late_is_used() {
    let mut late = Full::start();
    let writer = Engine::start(|_, line| if line.starts_with("DELETE") { EMPTY } else { EVENTS }.into());
    let program = Program::start("late", &[late.address()], &[writer.address], true);
    let client = Client::ask(program.front, "a1");
    late.dialled();
    // The machine dials again a second after it was turned away.
    let socket = late.accept();
    let reader = Engine::taking(socket, |_, _| READ.into());
    assert_eq!(final_answer(client).0, 200);
    assert_eq!((reader.count("POST"), writer.count("POST")), (1, 1));
}
