//! Decode servers that write an answer step by step, and what their clients receive, before the built program.

use std::io::{Read, Write as _};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::crossing::{Client, Program};
use super::scripted::{reader, Engine, Says, EMPTY};
use super::AGES;

pub const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
pub const LAST_CHUNK: &str = "0\r\n\r\n";
/// Time after a running server's last event by which its client's connection has to end, as the protocol has it.
pub const WAIT_LIMIT: Duration = Duration::from_secs(5);

pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// One step of a server's answer.
#[derive(Clone)]
pub enum Step {
    Write(String),
    /// Writes the bytes in so many pieces, with a pause after each.
    Pieces(String, usize, Duration),
    Pause(Duration),
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn play(steps: &[Step], socket: &mut TcpStream) -> bool {
    socket.set_nodelay(true).expect("set");
    for step in steps {
        let written = match step {
            Step::Write(bytes) => socket.write_all(bytes.as_bytes()),
            Step::Pieces(bytes, count, pause) => {
                let length = bytes.len().div_ceil(*count);
                bytes.as_bytes().chunks(length).try_for_each(|piece| {
                    socket.write_all(piece)?;
                    sleep(*pause);
                    Ok(())
                })
            }
            Step::Pause(pause) => {
                sleep(*pause);
                Ok(())
            }
        };
        if written.is_err() {
            return false;
        }
    }
    true
}

/// A server that answers each request by these steps.
pub fn server(steps: Vec<Step>) -> Engine {
    Engine::start(move |_, line| {
        if line.starts_with("DELETE") {
            return EMPTY.into();
        }
        let steps = steps.clone();
        Says::ByHand(Box::new(move |socket: &mut TcpStream| play(&steps, socket)))
    })
}

/// What a client received, and when.
pub struct Received {
    pub status: u16,
    pub body: String,
    /// When the connection ended or the last chunk came, since the request.
    pub ended: Duration,
    /// When the last `data:` line came, since the request.
    pub last_event: Duration,
}

impl Received {
    pub fn is_whole(&self) -> bool {
        self.body.ends_with(LAST_CHUNK)
    }
}

pub fn receive(client: Client) -> Received {
    let (started, mut socket) = (Instant::now(), client.0);
    socket.set_read_timeout(Some(AGES)).expect("a bound");
    let (mut got, mut space, mut last_event) = (Vec::new(), vec![0; 64 << 10], Duration::ZERO);
    loop {
        match socket.read(&mut space) {
            Ok(read @ 1..) => {
                if space[..read].windows(5).any(|bytes| bytes == b"data:") {
                    last_event = started.elapsed();
                }
                got.extend_from_slice(&space[..read]);
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => panic!("no end in time"),
            _ => break,
        }
        let text = String::from_utf8_lossy(&got);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length =
            head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
        if length.map_or(body.ends_with(LAST_CHUNK), |length| body.len() >= length) {
            break;
        }
    }
    let text = String::from_utf8(got).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let status = head[9..12].parse().expect("a status");
    Received { status, body: body.to_string(), ended: started.elapsed(), last_event }
}

pub fn ask(program: &Program, class: &str, id: &str) -> Received {
    receive(Client::ask_as(class, program.front, id))
}

/// Runs one request at a decode server that answers by these steps.
pub fn answer(name: &str, steps: Vec<Step>) -> Received {
    let (reader, writer) = (reader(), server(steps));
    let program = Program::start(name, &[reader.address], &[writer.address], true);
    let received = ask(&program, "order", "a1");
    assert_eq!(writer.count("POST"), 1, "{name}");
    received
}

pub fn each<T: Send>(cases: Vec<(&'static str, Vec<Step>)>, check: impl Fn(&str, Received) -> T + Sync) {
    std::thread::scope(|scope| {
        for (name, steps) in cases {
            let check = &check;
            scope.spawn(move || check(name, answer(name, steps)));
        }
    });
}
