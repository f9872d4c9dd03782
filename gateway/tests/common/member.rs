//! Real processes of the program as members of a fleet on loopback, each on ports of its own.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{signals, AGES};

/// Keys that no fleet uses.
pub const KEYS: [&str; 2] = [
    "a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1",
    "b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2",
];

/// Waits for something that comes by itself.
pub fn wait<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let from = Instant::now();
    loop {
        if let Some(seen) = look() {
            return seen;
        }
        assert!(from.elapsed() < AGES, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A directory of one test's own, empty.
pub fn directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a directory");
    path
}

pub fn write_keys(file: &Path, keys: &[&str], mode: u32) {
    std::fs::write(file, keys.join("\n")).expect("a key file");
    std::fs::set_permissions(file, PermissionsExt::from_mode(mode)).expect("a mode");
}

/// Discovery's list of one engine of each kind.
pub fn list(reader: SocketAddr, writer: SocketAddr) -> Value {
    let host = |name: &str, kind: &str, at: SocketAddr| {
        json!({"host": name, "dial": at, "site": "dc", "class": kind, "block": 0, "health": "SERVING", "share": 1.0,
            "born_ms": 0})
    };
    let hosts = [host("r", "prompt-side", reader), host("w", "answer-side", writer)];
    json!({"seq": 7, "whole": true, "hosts": hosts})
}

/// What a member is started with.
pub struct Plan<'a> {
    pub directory: &'a Path,
    pub name: &'a str,
    pub keys: &'a Path,
    pub bind: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Further lines of `[fleet]`.
    pub more: &'a str,
    pub may_tell: bool,
}

impl<'a> Plan<'a> {
    pub fn new(directory: &'a Path, name: &'a str, keys: &'a Path) -> Plan<'a> {
        let bind = ([127, 0, 0, 1], 0).into();
        Plan { directory, name, keys, bind, seeds: vec![], more: "", may_tell: true }
    }

    /// The platform's configuration, which asks for nothing of the fleet.
    pub fn platform(&self) -> PathBuf {
        let nowhere = ([127, 0, 0, 1], 1).into();
        let config = json!({"listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "discovery": nowhere,
            "known": list(nowhere, nowhere),
            "settings": {"quantum": 4.0, "zones": ["dc"], "kinds": ["prompt-side", "answer-side"],
                "services": [{"name": "order-chat", "aim": 2500.0, "deadline": 12000.0}],
                "domain": {"stage-of-kind": ["read", "write"], "pin-limit": 500.0},
                "policy-limits": {"max-attempts": 5, "cancel": true, "dial-timeout": 5000.0,
                    "may-tell": self.may_tell}}});
        let file = self.directory.join(format!("{}.json", self.name));
        std::fs::write(&file, config.to_string()).expect("a file");
        file
    }

    pub fn file(&self) -> PathBuf {
        let file = self.directory.join(format!("{}.toml", self.name));
        let seeds: Vec<_> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "[fleet]\nbind = '{}'\nseeds = {seeds:?}\nkey_file = {:?}\n{}\n",
            self.bind, self.keys, self.more
        );
        std::fs::write(&file, text).expect("a file");
        file
    }

    /// The program, its state under a directory of this name's own.
    pub fn command(&self) -> Command {
        let state = self.directory.join(format!("{}.state", self.name));
        std::fs::create_dir_all(&state).expect("a directory");
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
        command.env_clear().env("EDGE_CONFIG", self.platform()).env("TMPDIR", state);
        command.env("EDGE_NAME", self.name).arg("--fleet").arg(self.file());
        command
    }

    pub fn start(&self) -> Process {
        Process::start(&mut self.command())
    }
}

/// A running program, ended with the test.
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    pub fn start(command: &mut Command) -> Process {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (from, to) = (BufReader::new(child.stderr.take().expect("stderr")), lines.clone());
        std::thread::spawn(move || {
            from.lines().map_while(Result::ok).for_each(|line| to.lock().expect("a log").push(line));
        });
        Process { child, lines }
    }

    /// The end of the first line that holds this.
    pub fn said(&self, what: &str) -> String {
        wait(what, || self.has_said(what))
    }

    /// The same, if there is such a line by now.
    pub fn has_said(&self, what: &str) -> Option<String> {
        let lines = self.lines.lock().expect("a log");
        lines.iter().find_map(|line| line.split_once(what).map(|(_, rest)| rest.to_string()))
    }

    /// All that it has said so far.
    pub fn log(&self) -> String {
        self.lines.lock().expect("a log").join("\n")
    }

    pub fn operators(&self) -> SocketAddr {
        self.said("operators' front on ").parse().expect("an address")
    }

    /// Where the fleet's port is.
    pub fn at(&self) -> SocketAddr {
        self.said("bound to ").parse().expect("an address")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        signals::send(&self.child, name);
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("an end");
    }

    pub fn ended(&mut self) -> ExitStatus {
        wait("the end", || self.child.try_wait().expect("a state"))
    }

    /// Status and body of a call.
    pub fn call(&self, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.operators()).expect("a connection");
        stream.set_read_timeout(Some(AGES)).expect("a bound");
        let asked = stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").as_bytes());
        asked.expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        let (head, body) = answer.split_once("\r\n\r\n").expect("an answer");
        (head[9..12].parse().expect("a status"), body.to_string())
    }

    pub fn figures(&self) -> Value {
        let all: Value = serde_json::from_str(&self.call("/control/counters").1).expect("figures");
        all["fleet"].clone()
    }

    pub fn members(&self) -> Value {
        serde_json::from_str(&self.call("/control/fleet").1).expect("members")
    }

    pub fn me(&self) -> Value {
        self.members()["me"].clone()
    }

    /// How this process sees the member with this id, once it does so in this state.
    pub fn sees(&self, id: &Value, state: &str) -> Value {
        wait(&format!("{id} is {state}"), || {
            let members = self.members();
            let mut others = members["others"].as_array()?.iter();
            others.find(|m| m["id"] == *id && m["state"] == state).cloned()
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
