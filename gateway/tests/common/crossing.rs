//! The built program before engines and clients that stop at barriers, for two events that it finds in one wake-up.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use glenrail_socket_diagnosis::{query_connection, ConnectionState};
use serde_json::{json, Value};
use socket2::SockRef;

use super::member::{wait, Process};
use super::AGES;

/// A listener whose queue is full: whoever dials it waits until [`Full::accept`] makes room.
pub struct Full {
    pub listener: TcpListener,
    filling: Vec<TcpStream>,
}

impl Full {
    pub fn start() -> Full {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        // The machine lets one more in than the queue is told to hold.
        let filling = vec![TcpStream::connect(address).expect("a connection")];
        Full { listener, filling }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Until somebody waits to get in; gives the port that it dials from.
    pub fn dialled(&self) -> u16 {
        let here = format!(":{:04X} 02 ", self.address().port());
        wait("a dial", || {
            let all = std::fs::read_to_string("/proc/net/tcp").expect("the machine's connections");
            let line = all.lines().find(|line| line.contains(&here))?;
            let from = line.split_whitespace().nth(1)?.rsplit_once(':')?;
            u16::from_str_radix(from.1, 16).ok()
        })
    }

    /// Takes its room again, once whoever was in has been accepted.
    pub fn fill(&mut self) {
        self.filling.push(TcpStream::connect(self.address()).expect("a connection"));
    }

    /// Makes room, and gives the connection of whoever waited. It is up then, on the other side as well.
    pub fn accept(&mut self) -> TcpStream {
        let own: Vec<_> = self.filling.iter().map(|f| f.local_addr().expect("an address")).collect();
        loop {
            let (socket, from) = self.listener.accept().expect("a connection");
            if !own.contains(&from) {
                return socket;
            }
        }
    }
}

/// How a client goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Going {
    Closes,
    Resets,
    /// It ends what it sends, and would still read.
    HalfCloses,
}

/// A client, with its one request sent.
pub struct Client(pub TcpStream);

impl Client {
    pub fn ask(at: SocketAddr, id: &str) -> Client {
        Client::ask_as("chat", at, id)
    }

    pub fn ask_as(class: &str, at: SocketAddr, id: &str) -> Client {
        let mut socket = TcpStream::connect(at).expect("a connection");
        let head =
            format!("POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nreq-id: {id}\r\nreq-kind: {class}\r\n");
        socket.write_all(format!("{head}content-length: 2\r\n\r\n{{}}").as_bytes()).expect("sent");
        Client(socket)
    }

    /// Goes, and comes back once its going has reached the program's machine; gives what is left open of it. A child that
    /// another test is just starting may hold a copy of a socket for a moment, so that a close alone tells nothing.
    pub fn goes(self, how: Going) -> Option<TcpStream> {
        let [own, front] = [self.0.local_addr(), self.0.peer_addr()].map(|at| at.expect("an address"));
        let left = match how {
            Going::Closes => {
                drop(self.0);
                None
            }
            Going::Resets => {
                SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("set");
                drop(self.0);
                None
            }
            Going::HalfCloses => {
                self.0.shutdown(Shutdown::Write).expect("shut");
                Some(self.0)
            }
        };
        // The program's end of it: stands, or the other side has ended it; after a reset it is no more.
        wait("the client's going", || {
            let state = query_connection(front, own).expect("the kernel answers").map(|end| end.state);
            let expected = if how == Going::Resets { None } else { Some(ConnectionState::CloseWait) };
            (state == expected).then_some(())
        });
        left
    }
}

/// The program, with a list of readers and writers that it knows from its start.
pub struct Program {
    pub process: Process,
    pub front: SocketAddr,
}

impl Program {
    /// `cancel`: whether the deployment lets an attempt be called back.
    pub fn start(name: &str, readers: &[SocketAddr], writers: &[SocketAddr], cancel: bool) -> Program {
        Program::with(name, readers, writers, |settings| settings["policy-limits"]["cancel"] = json!(cancel))
    }

    /// With other settings.
    pub fn with(
        name: &str, readers: &[SocketAddr], writers: &[SocketAddr], change: impl FnOnce(&mut Value),
    ) -> Program {
        let host = |kind: &str, at: &SocketAddr| {
            json!({"host": format!("{kind}-{}", at.port()), "dial": at, "site": "dc", "class": kind, "block": 0,
                "health": "SERVING", "share": 1.0, "born_ms": 0})
        };
        let hosts: Vec<_> =
            readers.iter().map(|at| host("r", at)).chain(writers.iter().map(|at| host("w", at))).collect();
        let mut config = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "known": {"seq": 7, "whole": true, "hosts": hosts},
            "settings": {"balancers": 1, "quantum": 4.0, "zones": ["dc"], "kinds": ["r", "w"],
                "services": [{"name": "chat", "aim": 9000.0, "deadline": 25000.0, "semantics": "free"},
                    {"name": "order", "aim": 9000.0, "deadline": 25000.0, "semantics": "single_shot"}],
                "domain": {"stage-of-kind": ["read", "write"], "tokens-by-kind": [200000, 200000], "pin-limit": 500.0},
                "policy-limits": {"max-attempts": 5, "dial-timeout": 20000.0},
                "rules": {"cold": 13000.0, "cold-from": 0.31, "fall": 3000.0, "fall-multiple": 4.0}}});
        change(&mut config["settings"]);
        let state = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&state).expect("a directory");
        let file = state.join("config.json");
        std::fs::write(&file, config.to_string()).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
        let process = Process::start(command.env_clear().env("EDGE_CONFIG", &file).env("TMPDIR", &state));
        let front = process.said("front on ").parse().expect("an address");
        Program { process, front }
    }

    /// Has it find all that happens until it goes on in one wake-up.
    pub fn stop(&self) {
        self.process.signal("-STOP");
        let status = format!("/proc/{}/stat", self.process.id());
        wait("the stop", || {
            let status = std::fs::read_to_string(&status).expect("a state");
            status.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T')).then_some(())
        });
    }

    pub fn go_on(&self) {
        self.process.signal("-CONT");
    }
}

/// All that comes on a connection until its end, of either kind.
pub fn rest(socket: &mut TcpStream) -> Vec<u8> {
    socket.set_read_timeout(Some(AGES)).expect("a bound");
    let mut got = Vec::new();
    match socket.read_to_end(&mut got) {
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("no end in time"),
        _ => got,
    }
}

/// Status and all of the body that came, with its framing, to the answer's end.
pub fn final_answer(client: Client) -> (u16, String) {
    let mut socket = client.0;
    socket.set_read_timeout(Some(AGES)).expect("a bound");
    let (mut got, mut space) = (Vec::new(), vec![0; 64 << 10]);
    let whole = |got: &[u8]| {
        let text = String::from_utf8_lossy(got);
        let (head, body) = text.split_once("\r\n\r\n")?;
        let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
        let ended = length.map_or_else(|| body.ends_with("\r\n0\r\n\r\n"), |n| body.len() >= n);
        ended.then_some(())
    };
    while whole(&got).is_none() {
        match socket.read(&mut space) {
            Ok(n @ 1..) => got.extend_from_slice(&space[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("no end in time: {got:?}"),
            _ => break,
        }
    }
    let text = String::from_utf8(got).expect("text");
    assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "one answer: {text}");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    (head[9..12].parse().expect("a status"), body.to_string())
}
