//! The built program as a child of the test, which can be stopped, told to end, and told to go on.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use glenrail_socket_diagnosis::query_connection;
use serde_json::{json, Value};

use super::{signals, until, StandIn};

pub struct Program {
    child: Child,
    pub address: SocketAddr,
    log: Arc<Mutex<String>>,
}

/// A configuration of one class before one reader and one writer; discovery refuses.
pub fn config(reader: &StandIn, writer: &StandIn) -> Value {
    let host = |name: &str, kind: &str, at: &StandIn| {
        json!({"host": name, "dial": at.address, "site": "dc", "class": kind, "block": 0, "health": "SERVING",
            "share": 1.0, "born_ms": 0})
    };
    let hosts = [host("r", "prompt-side", reader), host("w", "answer-side", writer)];
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "discovery": "127.0.0.1:1",
        "limits": {"memory_mb": 192, "sockets": 1024}, "known": {"seq": 7, "whole": true, "hosts": hosts},
        "settings": {"quantum": 4.0, "zones": ["dc"], "kinds": ["prompt-side", "answer-side"],
            "services": [{"name": "item-query", "aim": 2500.0, "deadline": 12000.0, "semantics": "free"}],
            "domain": {"stage-of-kind": ["read", "write"], "pin-limit": 500.0},
            "policy-limits": {"max-attempts": 5, "cancel": true, "dial-timeout": 5000.0}}})
}

impl Program {
    /// Starts the program; `name` is the test's own.
    pub fn start(name: &str, config: &Value) -> Program {
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
        let mut child = command.env("EDGE_CONFIG", &file).stderr(Stdio::piped()).spawn().expect("it starts");
        let mut said = BufReader::new(child.stderr.take().expect("stderr"));
        let mut line = String::new();
        said.read_line(&mut line).expect("a line");
        let address = line.trim().rsplit_once("platform front on ").expect("where it listens").1;
        let (address, log) = (address.parse().expect("an address"), Arc::new(Mutex::new(line.clone())));
        std::thread::spawn({
            let log = log.clone();
            move || {
                for line in said.lines().map_while(Result::ok) {
                    let mut log = log.lock().expect("a log");
                    log.push_str(&line);
                    log.push('\n');
                }
            }
        });
        Program { child, address, log }
    }

    pub fn logged(&self, words: &str) -> bool {
        self.log.lock().expect("a log").contains(words)
    }

    pub fn signal(&self, name: &str) {
        signals::send(&self.child, name);
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops it, and waits until it stands: what comes from here on waits for `go_on`.
    pub fn halt(&self) {
        self.signal("-STOP");
        while !self.stat().starts_with('T') {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// From the state on.
    fn stat(&self) -> String {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a process");
        stat.rsplit_once(") ").expect("a state").1.to_string()
    }

    /// Pages of memory in use.
    pub fn pages(&self) -> usize {
        let stat = std::fs::read_to_string(format!("/proc/{}/statm", self.child.id())).expect("a process");
        stat.split(' ').nth(1).and_then(|n| n.parse().ok()).expect("a count")
    }

    /// Bytes that have come from this port and that it has not read.
    pub fn unread_from(&self, port: u16) -> usize {
        let client = SocketAddr::new(self.address.ip(), port);
        let connection = query_connection(self.address, client).expect("the kernel answers");
        connection.expect("a connection").unread_bytes.try_into().expect("a count")
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("a process").count()
    }

    /// Until it has ended by itself.
    pub async fn ended(&mut self) -> ExitStatus {
        let mut ended = None;
        until(|| {
            ended = self.child.try_wait().expect("a state");
            ended.is_some()
        })
        .await;
        ended.expect("an end")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
