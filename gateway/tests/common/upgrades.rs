//! Processes that take over from one another at one address, before stand-in servers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{answer, memory_kb, stream, until, Act, Seen, StandIn};

/// The pieces in which a server sends a stream; one event is cut in two.
pub const PARTS: [&str; 9] = [
    "data: {\"n\":0}\n\n",
    "data: {\"n\":1}\n\n",
    "data: {\"n\":2}\n\nda",
    "ta: {\"n\":3}\n\n",
    "data: {\"n\":4}\n\n",
    "data: {\"n\":5}\n\n",
    "data: {\"n\":6}\n\n",
    "data: {\"n\":7}\n\n",
    "data: [DONE]\n\n",
];

/// A process of the gateway, killed with the test.
pub struct Process {
    child: Child,
    ops: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What the processes of one gateway share: the address, the state directory and the settings.
pub struct Place {
    dir: PathBuf,
    pub listen: SocketAddr,
    pub settings: Value,
    /// Arguments of each process.
    pub arguments: Vec<String>,
}

impl Place {
    pub fn new(name: &str, agent: &StandIn, hosts: &Value) -> Place {
        let dir =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("upgrade-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("a directory");
        let settings = json!({"name": "n0", "seed": "8c1f30d27a5be964", "discovery": agent.address.to_string(),
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"seq": 7, "whole": true, "hosts": hosts},
            "settings": {"quantum": 4.0, "zones": ["dc"], "kinds": ["prompt-side", "answer-side"],
                "services": [{"name": "item-query", "aim": 8000.0, "deadline": 10000.0, "semantics": "free"}],
                "domain": {"stage-of-kind": ["read", "write"], "pin-limit": 500.0},
                "policy-limits": {"max-attempts": 5, "cancel": true, "dial-timeout": 5000.0}}});
        Place { dir, listen: free(), settings, arguments: Vec::new() }
    }

    /// Writes a file beside the processes' own and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let file = self.dir.join(name);
        std::fs::write(&file, text).expect("a file");
        file.to_str().expect("text").to_string()
    }

    pub fn orders(&self) -> PathBuf {
        self.dir.join(format!("glenrail-{}", self.listen).replace(':', "-")).join("offline")
    }

    /// Starts a process here; the platform waits until it says yes.
    pub async fn start(&self) -> Process {
        let ops = free();
        let mut config = self.settings.clone();
        config["listen"] = self.listen.to_string().into();
        config["ops"] = ops.to_string().into();
        let file = self.dir.join(format!("config-{}.json", ops.port()));
        std::fs::write(&file, config.to_string()).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
        let log = self.dir.join(format!("log-{}", ops.port()));
        let output = std::fs::File::create(&log).expect("a file");
        command.args(&self.arguments).env("EDGE_CONFIG", &file).env("TMPDIR", &self.dir).stderr(output);
        let mut process = Process { child: command.spawn().expect("the program starts"), ops };
        while process.call("GET", "/control/ready").await != Some(200) {
            if let Some(status) = process.child.try_wait().expect("a state") {
                let log = std::fs::read_to_string(&log).expect("a log");
                panic!("the process ended before it was ready ({status}): {log}");
            }
            sleep(Duration::from_millis(5)).await;
        }
        process
    }
}

/// The ports for the processes of a test binary: below those that the system gives to connections and to listeners on any
/// port, which another test could get before the process listens.
const PORTS: std::ops::Range<u32> = 10_000..30_000;
/// Ports that a test binary has for itself, unless many run at once.
const PORTS_OF_A_BINARY: u32 = 100;

/// An address that is free, for a process to listen on. No two calls in one binary give the same one.
fn free() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_OF_A_BINARY);
    loop {
        let offset = first.wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed)) % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], (PORTS.start + offset) as u16));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Process {
    pub async fn call(&self, method: &str, path: &str) -> Option<u16> {
        self.exchange(method, path).await?.get(9..12)?.parse().ok()
    }

    /// The operators' counters.
    pub async fn counters(&self) -> Value {
        let response = self.exchange("GET", "/control/counters").await.expect("a response");
        let (_, body) = response.split_once("\r\n\r\n").expect("a body");
        serde_json::from_str(body).expect("JSON")
    }

    /// The memory of the process, in kilobytes: `VmRSS` or `VmHWM`, its peak.
    pub fn memory_kb(&self, which: &str) -> usize {
        memory_kb(self.child.id(), which)
    }

    async fn exchange(&self, method: &str, path: &str) -> Option<String> {
        let mut raw = TcpStream::connect(self.ops).await.ok()?;
        raw.write_all(format!("{method} {path} HTTP/1.1\r\nhost: ops\r\n\r\n").as_bytes()).await.ok()?;
        let mut said = String::new();
        raw.read_to_string(&mut said).await.ok()?;
        Some(said)
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    pub async fn ended(&mut self) -> bool {
        let mut status = None;
        until(|| {
            status = self.child.try_wait().expect("a state");
            status.is_some()
        })
        .await;
        status.expect("an end").success()
    }
}

/// Starts a writer whose first stream consists of what the test sends to the returned channel.
pub async fn told_writer() -> (StandIn, mpsc::UnboundedSender<Bytes>) {
    let (tell, told) = mpsc::unbounded_channel();
    let told = RefCell::new(Some(told));
    let script = move |_, _: &Seen| told.borrow_mut().take().map_or_else(stream, Act::Told);
    (StandIn::start(script).await, tell)
}

/// Sends a request on a connection of its own, and returns the connection.
pub async fn connect_and_ask(address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).await.expect("a connection");
    let request = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nreq-id: a1\r\nreq-kind: item-query\r\n\
        content-length: 2\r\n\r\n{}";
    client.write_all(request.as_bytes()).await.expect("sent");
    client
}

pub fn host(name: &str, kind: &str, at: &StandIn) -> Value {
    json!({"host": name, "dial": at.address.to_string(), "site": "dc", "class": kind, "block": 0,
        "health": "SERVING", "share": 1.0, "born_ms": 0})
}

/// Discovery that gives this list to each process.
pub async fn discovery(hosts: &Value) -> StandIn {
    let list = json!({"seq": 8, "whole": true, "hosts": hosts}).to_string();
    StandIn::start(move |_, seen| match seen.path.as_str() {
        "/v1/endpoints" => Act::Answer(answer(200, &[], list.clone())),
        _ => Act::Silence,
    })
    .await
}
