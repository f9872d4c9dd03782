//! The time that an attempt tells its engine, by the built program: no more than what is left to its client as it is written,
//! however long its connection was in coming up, at a further attempt too.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::crossing::*;
use common::scripted::*;

/// The class's deadline, in the program's configuration.
const DEADLINE: f64 = 25.0;
/// A machine that was turned away dials again so much later.
const DIALS_AGAIN: f64 = 1.0;
/// What an attempt may tell beyond what is left.
const OVER: f64 = 0.15;

/// Full, and the connection ends here.
const CLOSING: &str =
    "HTTP/1.1 503 Full\r\nsrv-declined: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Takes a request whole, and reads the time that it tells.
fn told(socket: &mut TcpStream) -> f64 {
    socket.set_read_timeout(Some(common::AGES)).expect("a bound");
    let (mut got, mut byte) = (Vec::new(), [0]);
    while !got.ends_with(b"\r\n\r\n{}") {
        socket.read_exact(&mut byte).expect("a request");
        got.push(byte[0]);
    }
    let head = String::from_utf8(got).expect("text");
    let told = head.lines().find_map(|line| line.strip_prefix("req-deadline: ")).expect("a time");
    told.parse().expect("seconds")
}

/// Guards an engine from work for a client that has gone by then: the time of the dial is taken off, at the first attempt and
/// at the one that follows a reader's "full".
#[test]
fn an_attempt_states_the_time_that_remains_after_connecting() {
    let mut reader = Full::start();
    let writer = Engine::start(|_, line| if line.starts_with("DELETE") { EMPTY } else { EVENTS }.into());
    let program = Program::start("time-left", &[reader.address()], &[writer.address], true);
    let client = Client::ask(program.front, "a1");
    let mut told_at = Vec::new();
    for answer in [CLOSING, READ] {
        reader.dialled();
        let mut socket = reader.accept();
        told_at.push(told(&mut socket));
        // The next dial is late as well.
        reader.fill();
        socket.write_all(answer.as_bytes()).expect("written");
    }
    assert_eq!(final_answer(client).0, 200);
    for (n, told) in told_at.into_iter().enumerate() {
        let left = DEADLINE - DIALS_AGAIN * (n + 1) as f64;
        assert!(told <= left + OVER, "attempt {n} tells {told} of {left} s");
    }
}

/// For so long the process stands still, with a new client's request in its queue.
const STOOD_STILL: Duration = Duration::from_millis(600);
/// A connection is not counted as older than this by its wait.
const MOST_COUNTED: f64 = 1.0;

/// Guards an engine from work for a client that has gone by then: a request that lay in the machine's queue while the process stood
/// still has that much less time. One that comes after it has all its time.
#[test]
fn the_time_in_the_accept_queue_of_a_stopped_process_is_taken_off() {
    let reader = TcpListener::bind("127.0.0.1:0").expect("a port");
    let writer = Engine::start(|_, line| if line.starts_with("DELETE") { EMPTY } else { EVENTS }.into());
    let address = reader.local_addr().expect("an address");
    let program = Program::start("time-in-queue", &[address], &[writer.address], true);
    program.stop();
    let client = Client::ask(program.front, "a1");
    std::thread::sleep(STOOD_STILL);
    program.go_on();
    let (mut socket, _) = reader.accept().expect("a connection");
    let waited = told(&mut socket);
    socket.write_all(READ.as_bytes()).expect("written");
    assert_eq!(final_answer(client).0, 200);
    let left = DEADLINE - STOOD_STILL.as_secs_f64();
    assert!(waited <= left + OVER, "told {waited} of {left} s");
    assert!(waited >= DEADLINE - MOST_COUNTED - OVER, "told {waited} of {left} s");
    let began = Instant::now();
    let client = Client::ask(program.front, "a2");
    let at_once = told(&mut socket);
    let passed = began.elapsed().as_secs_f64();
    socket.write_all(READ.as_bytes()).expect("written");
    assert_eq!(final_answer(client).0, 200);
    assert!(at_once >= DEADLINE - passed - OVER, "told {at_once} after {passed} s");
}
