//! Gateways of a run, each at an address that its successive processes share, with their restarts and upgrades.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{json, Value};
use socket2::Socket;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::{sleep, timeout, Instant};

use super::judge::Shutdown;
use crate::clock::{self, Micros, MILLISECOND};
use crate::deployment::DeploymentError;
use crate::discovery::DiscoveryAgent;
use crate::gateway_log::GatewayLog;
use crate::process::{reserved_address, Process};

/// Time from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time around a kill within which it explains the end of a response.
const KILL_SLACK: Micros = 200 * MILLISECOND;

/// When the processes of one gateway were sent SIGTERM, and were killed.
#[derive(Clone, Debug, Default)]
struct ProcessEvents {
    terminated: Vec<Micros>,
    killed: Vec<Micros>,
}

/// A gateway of the run.
pub struct Gateway {
    pub address: SocketAddr,
    pub log: GatewayLog,
    folder: TempDir,
    config: Value,
    program: PathBuf,
    /// Keeps the address reserved across processes.
    _reservation: Socket,
    events: Arc<Mutex<ProcessEvents>>,
}

/// A process of a gateway, and its operators' address.
pub struct GatewayProcess {
    process: Process,
    ops: SocketAddr,
    _reservation: Socket,
}

fn start_error(error: io::Error) -> DeploymentError {
    DeploymentError::Start { component: "gateway".into(), error }
}

impl Gateway {
    /// Prepares a gateway with these settings and this list of servers.
    pub fn new(
        program: &Path, agent: &DiscoveryAgent, list: &Value, settings: &Value, max_descriptors: usize,
    ) -> Result<Gateway, DeploymentError> {
        let (reservation, address) = reserved_address().map_err(start_error)?;
        let folder = tempfile::tempdir().map_err(start_error)?;
        let config = json!({"name": "n", "listen": address, "discovery": agent.address.to_string(),
            "seed": "8c1f30d2", "known": list, "limits": {"memory_mb": 192, "sockets": max_descriptors},
            "settings": settings});
        Ok(Gateway {
            address,
            log: GatewayLog::default(),
            folder,
            config,
            program: program.to_path_buf(),
            _reservation: reservation,
            events: Arc::default(),
        })
    }

    /// Starts a process and waits until it is ready.
    pub async fn start(&self) -> Result<GatewayProcess, DeploymentError> {
        let (reservation, ops) = reserved_address().map_err(start_error)?;
        let mut config = self.config.clone();
        config["ops"] = ops.to_string().into();
        let path = self.folder.path().join(format!("config-{}.json", ops.port()));
        fs::write(&path, config.to_string()).map_err(start_error)?;
        let mut command = Command::new(&self.program);
        command.env_clear().env("EDGE_CONFIG", path).env("TMPDIR", self.folder.path()).stderr(Stdio::piped());
        let mut process = Process::start(&mut command, "gateway")?;
        if let Some(output) = process.child.stderr.take() {
            self.log.follow(output);
        }
        let ready = async {
            while !is_ready(ops).await {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(READY_TIMEOUT, ready).await.map_err(|_| DeploymentError::NotReady("gateway".into()))?;
        Ok(GatewayProcess { process, ops, _reservation: reservation })
    }

    /// Ends a process as the platform does: SIGTERM, possibly with further signals at these delays, and SIGKILL as early as
    /// it may come.
    pub async fn end(
        &self, mut ending: GatewayProcess, series: &[(Duration, Signal)],
    ) -> Result<(), DeploymentError> {
        self.note(|events| &mut events.terminated);
        ending.process.signal(Signal::TERM);
        let terminated = Instant::now();
        let mut series = series.iter().peekable();
        while !ending.process.has_ended() {
            while let Some((_, signal)) = series.next_if(|(delay, _)| terminated.elapsed() >= *delay) {
                ending.process.signal(*signal);
            }
            if terminated.elapsed() >= KILL_DELAY {
                self.note(|events| &mut events.killed);
                return ending.process.kill().await.map_err(start_error);
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn note(&self, list: impl Fn(&mut ProcessEvents) -> &mut Vec<Micros>) {
        list(&mut self.events.lock().unwrap_or_else(PoisonError::into_inner)).push(clock::now());
    }

    /// Returns how shutdowns concern a request that was open in this period.
    pub fn shutdown_during(&self, sent: Micros, ended: Micros) -> Shutdown {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let kill_delay = KILL_DELAY.as_micros() as Micros;
        Shutdown {
            was_terminated: events.terminated.iter().any(|at| *at < ended && at + kill_delay > sent),
            ended_by_kill: events.killed.iter().any(|at| at.abs_diff(ended) < KILL_SLACK),
        }
    }
}

impl GatewayProcess {
    /// Returns the operators' counters, as text.
    pub async fn counters(&self) -> Option<String> {
        let response = call(self.ops, "/control/counters").await?;
        response.split_once("\r\n\r\n").map(|(_, body)| body.to_string())
    }
}

async fn is_ready(ops: SocketAddr) -> bool {
    call(ops, "/control/ready").await.is_some_and(|response| response.contains(" 200 "))
}

async fn call(ops: SocketAddr, path: &str) -> Option<String> {
    let mut socket = TcpStream::connect(ops).await.ok()?;
    socket.write_all(format!("GET {path} HTTP/1.1\r\nhost: ops\r\n\r\n").as_bytes()).await.ok()?;
    let mut response = String::new();
    socket.read_to_string(&mut response).await.ok()?;
    Some(response)
}
