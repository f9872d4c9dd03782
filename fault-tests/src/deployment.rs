//! Deployment of processes on loopback: gateways, stand-in engines, and a link from each gateway to each engine.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::{json, Value};
use socket2::Socket;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::{sleep, timeout};

use crate::client::{self, ClientRequest};
use crate::clock::{self, Micros};
pub use crate::deployment_error::DeploymentError;
pub use crate::deployment_spec::{DeploymentSpec, EngineSpec};
use crate::discovery::DiscoveryAgent;
use crate::engine::Role;
use crate::gateway_log::GatewayLog;
use crate::lateness::LatenessMonitor;
use crate::network::Link;
use crate::process::{reserved_address, Process};
use crate::record::{Event, Record, Records};

/// Time within which a process has to accept connections; exceeding it is an error of the run, not of the gateway.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which the platform requires a restarted gateway to be ready.
const GATEWAY_READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between connection attempts to an engine that does not listen yet.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Name of a gateway's configuration file in its folder.
const CONFIG_FILE: &str = "config.json";

/// Engine and its current process.
#[derive(Debug)]
pub struct EngineProcess {
    pub spec: EngineSpec,
    pub address: SocketAddr,
    pub process: Process,
    /// Time of the last restart, in Unix milliseconds; 0 if it was not restarted.
    pub started_unix_ms: u64,
    pub draining: bool,
}

/// Gateway and its current process.
#[derive(Debug)]
pub struct GatewayProcess {
    pub name: String,
    pub address: SocketAddr,
    pub process: Process,
    pub agent: DiscoveryAgent,
    folder: PathBuf,
    config: Value,
    pub log: GatewayLog,
}

/// Content of a gateway's configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFile {
    Valid,
    Malformed,
}

/// Running deployment, whose processes are killed when it is dropped.
pub struct Deployment {
    pub spec: DeploymentSpec,
    pub engines: Vec<EngineProcess>,
    pub gateways: Vec<GatewayProcess>,
    /// Keyed by the indexes of gateway and engine.
    pub links: BTreeMap<(usize, usize), Link>,
    pub records: Records,
    /// Measures the scheduling delays of the run itself.
    pub lateness: LatenessMonitor,
    /// Sockets that reserve the addresses of the processes.
    reservations: Vec<Socket>,
    folder: TempDir,
    program: PathBuf,
    gateway_program: PathBuf,
    list_version: u64,
}

impl Deployment {
    /// Starts all processes and waits until they accept connections. `program` is the path of this crate's binary,
    /// `gateway_program` that of the gateway's.
    pub async fn start(
        spec: DeploymentSpec, program: &Path, gateway_program: &Path,
    ) -> Result<Deployment, DeploymentError> {
        let folder = tempfile::tempdir()
            .map_err(|error| DeploymentError::Start { component: "temporary folder".into(), error })?;
        let mut deployment = Deployment {
            spec: spec.clone(),
            engines: Vec::new(),
            gateways: Vec::new(),
            links: BTreeMap::new(),
            records: Records::default(),
            lateness: LatenessMonitor::start(),
            reservations: Vec::new(),
            folder,
            program: program.to_path_buf(),
            gateway_program: gateway_program.to_path_buf(),
            list_version: 1,
        };
        for engine in spec.engines {
            let address = deployment.reserve_address()?;
            let process = deployment.start_engine(&engine, address)?;
            deployment.engines.push(EngineProcess {
                spec: engine,
                address,
                process,
                started_unix_ms: 0,
                draining: false,
            });
        }
        deployment.wait_for_engines().await?;
        for index in 0..spec.gateways {
            deployment.open_links(index)?;
            deployment.start_gateway(index).await?;
        }
        Ok(deployment)
    }

    /// Reserves an address for a process for as long as the deployment exists.
    fn reserve_address(&mut self) -> Result<SocketAddr, DeploymentError> {
        let reserved = reserved_address();
        let (socket, address) = reserved
            .map_err(|error| DeploymentError::Start { component: "address reservation".into(), error })?;
        self.reservations.push(socket);
        Ok(address)
    }

    fn states_folder(&self) -> PathBuf {
        self.folder.path().join("states")
    }

    fn start_engine(&self, spec: &EngineSpec, listen: SocketAddr) -> Result<Process, DeploymentError> {
        let role = if spec.role == Role::Prefill { "prefill" } else { "decode" };
        let mut command = Command::new(&self.program);
        command.args(["engine", "--name", &spec.name, "--role", role, "--listen", &listen.to_string()]);
        command.args([
            "--least",
            &spec.service_time_ms.0.to_string(),
            "--most",
            &spec.service_time_ms.1.to_string(),
        ]);
        if spec.finishes_prefills {
            command.arg("--finishes-prefills");
        }
        command.arg("--states").arg(self.states_folder()).stdout(Stdio::piped());
        let mut process = self.spawn_process(&mut command, &spec.name)?;
        let records = self.records.clone();
        if let Some(stdout) = process.child.stdout.take() {
            tokio::spawn(async move {
                let mut lines = BufReader::new(stdout).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    // A killed engine may leave an incomplete line.
                    if let Ok(record) = serde_json::from_str::<Record>(&line) {
                        records.push(record);
                    }
                }
            });
        }
        Ok(process)
    }

    async fn wait_for_engines(&self) -> Result<(), DeploymentError> {
        for engine in &self.engines {
            wait_until(&engine.spec.name, || std::net::TcpStream::connect(engine.address).is_ok()).await?;
        }
        Ok(())
    }

    fn open_links(&mut self, gateway: usize) -> Result<(), DeploymentError> {
        for (index, engine) in self.engines.iter().enumerate() {
            let name = format!("n{gateway}-{}", engine.spec.name);
            let link = Link::open(&name, engine.address, self.records.clone());
            let link = link.map_err(|error| DeploymentError::Start { component: name, error })?;
            self.links.insert((gateway, index), link);
        }
        Ok(())
    }

    /// Returns the endpoint list for one gateway, in which each engine has the address of its link to that gateway.
    fn endpoint_list(&self, gateway: usize) -> Value {
        let host = |(index, engine): (usize, &EngineProcess)| {
            let kind = if engine.spec.role == Role::Prefill { "prompt-side" } else { "answer-side" };
            let health = if engine.draining { "DRAINING" } else { "SERVING" };
            json!({"host": engine.spec.name, "dial": self.links[&(gateway, index)].address, "site": "dc",
                "class": kind, "block": 0, "health": health, "share": 1.0, "born_ms": engine.started_unix_ms})
        };
        let hosts: Vec<Value> = self.engines.iter().enumerate().map(host).collect();
        json!({"seq": self.list_version, "whole": true, "hosts": hosts})
    }

    /// Publishes the current state of the engines to all gateways.
    pub fn publish(&mut self) {
        self.list_version += 1;
        for (index, gateway) in self.gateways.iter().enumerate() {
            gateway.agent.publish(self.endpoint_list(index));
        }
    }

    async fn start_gateway(&mut self, index: usize) -> Result<(), DeploymentError> {
        let name = format!("n{index}");
        let start_error = |error| DeploymentError::Start { component: format!("n{index}"), error };
        let list = self.endpoint_list(index);
        let agent = DiscoveryAgent::start(list.clone()).await.map_err(start_error)?;
        let address = self.reserve_address()?;
        let folder = self.folder.path().join(&name);
        fs::create_dir_all(&folder).map_err(start_error)?;
        let config = json!({"name": name, "listen": address, "discovery": agent.address.to_string(),
            "seed": format!("{:x}", 0x8c1f_30d2_u64 + index as u64), "known": list,
            "limits": {"memory_mb": 192, "sockets": self.spec.max_descriptors}, "settings": self.spec.settings()});
        let log = GatewayLog::default();
        write_config(&folder, &config.to_string()).map_err(start_error)?;
        let process = self.spawn_gateway(&name, &folder, &log)?;
        self.gateways.push(GatewayProcess {
            name: name.clone(),
            address,
            process,
            agent,
            folder,
            config,
            log,
        });
        wait_until(&name, || std::net::TcpStream::connect(address).is_ok()).await
    }

    /// Spawns a gateway's process, whose lines are appended to `log`.
    fn spawn_gateway(&self, name: &str, folder: &Path, log: &GatewayLog) -> Result<Process, DeploymentError> {
        let mut command = Command::new(&self.gateway_program);
        command
            .env_clear()
            .env("EDGE_CONFIG", folder.join(CONFIG_FILE))
            .env("TMPDIR", folder)
            .stderr(Stdio::piped());
        let mut process = self.spawn_process(&mut command, name)?;
        if let Some(id) = process.child.id() {
            self.lateness.watch_gateway(name, id);
        }
        if let Some(output) = process.child.stderr.take() {
            log.follow(output);
        }
        Ok(process)
    }

    /// Spawns a process and records how long that took.
    fn spawn_process(&self, command: &mut Command, name: &str) -> Result<Process, DeploymentError> {
        let requested_at = clock::now();
        let process = Process::start(command, name)?;
        self.lateness.note_start(name, requested_at);
        Ok(process)
    }

    /// Writes a gateway's configuration file, which it reads at its start and on SIGHUP.
    pub fn write_config(&self, gateway: usize, file: ConfigFile) -> Result<(), DeploymentError> {
        let gateway = &self.gateways[gateway];
        let text = match file {
            ConfigFile::Valid => gateway.config.to_string(),
            ConfigFile::Malformed => "{ half".into(),
        };
        let written = write_config(&gateway.folder, &text);
        written.map_err(|error| DeploymentError::Start { component: gateway.name.clone(), error })
    }

    /// Records the end of a gateway's process, after killing it if it still runs.
    pub async fn end_gateway(&mut self, gateway: usize) -> Result<(), DeploymentError> {
        let gateway = &mut self.gateways[gateway];
        let killed = !gateway.process.has_ended();
        if killed {
            self.records.add(&gateway.name, Event::GatewayKilled);
            let ended = gateway.process.kill().await;
            ended.map_err(|error| DeploymentError::Start { component: gateway.name.clone(), error })?;
        }
        self.records.add(&gateway.name, Event::GatewayEnded { killed });
        Ok(())
    }

    /// Starts a new process at the address of a gateway whose process has ended.
    pub fn respawn_gateway(&mut self, gateway: usize) -> Result<(), DeploymentError> {
        self.write_config(gateway, ConfigFile::Valid)?;
        let GatewayProcess { name, folder, log, .. } = &self.gateways[gateway];
        let process = self.spawn_gateway(name, folder, log)?;
        self.gateways[gateway].process = process;
        Ok(())
    }

    /// Kills an engine. Its links reset their connections and refuse new ones, as the machine of a terminated process does.
    pub async fn kill_engine(&mut self, index: usize) -> Result<(), DeploymentError> {
        let component = self.engines[index].spec.name.clone();
        let engine = &mut self.engines[index];
        if engine.process.has_ended() {
            return Ok(());
        }
        if let Err(error) = engine.process.child.start_kill() {
            return Err(DeploymentError::Start { component, error });
        }
        self.links_to(index).for_each(Link::mark_engine_down);
        let killed = self.engines[index].process.kill().await;
        killed.map_err(|error| DeploymentError::Start { component, error })
    }

    /// Makes the links to an engine accept connections again once its process does.
    fn reopen_links_when_up(&self, index: usize) {
        let address = self.engines[index].address;
        let links: Vec<Link> = self.links_to(index).cloned().collect();
        tokio::spawn(async move {
            while TcpStream::connect(address).await.is_err() {
                sleep(CONNECT_RETRY_PAUSE).await;
            }
            links.iter().for_each(Link::mark_engine_up);
        });
    }

    /// Kills an engine and restarts it at its address, without its states.
    pub async fn restart_engine(&mut self, index: usize) -> Result<(), DeploymentError> {
        self.kill_engine(index).await?;
        let engine = &self.engines[index];
        self.discard_states(&engine.spec.name);
        let process = self.start_engine(&engine.spec, engine.address)?;
        self.reopen_links_when_up(index);
        let engine = &mut self.engines[index];
        engine.process = process;
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        engine.started_unix_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
        Ok(())
    }

    /// Deletes the states that a terminated engine held.
    fn discard_states(&self, engine_name: &str) {
        let Ok(states) = fs::read_dir(self.states_folder()) else { return };
        for state in states.flatten() {
            let owner = fs::read_to_string(state.path()).unwrap_or_default();
            if owner == engine_name && fs::remove_file(state.path()).is_ok() {
                let request = state.file_name().to_string_lossy().into_owned();
                self.records.add(engine_name, Event::StateLost { request });
            }
        }
    }

    /// Returns the links of all gateways to this engine.
    pub fn links_to(&self, engine: usize) -> impl Iterator<Item = &Link> {
        self.links.iter().filter(move |(key, _)| key.1 == engine).map(|(_, link)| link)
    }

    /// Sends one request to a gateway, and returns the status of the response, if there is one.
    pub async fn send(&self, gateway: usize, request: ClientRequest) -> Option<u16> {
        let gateway = &self.gateways[gateway];
        client::send_request(&gateway.name, gateway.address, request, &self.records).await
    }

    /// Returns the lines of the gateways' logs received from `from` until `until`.
    pub fn log_between(&self, from: Micros, until: Micros) -> Vec<String> {
        let gateway_lines = |gateway: &GatewayProcess| {
            let lines = gateway.log.lines_between(from, until).into_iter();
            lines.map(|line| format!("{}: {line}", gateway.name)).collect::<Vec<_>>()
        };
        self.gateways.iter().flat_map(gateway_lines).collect()
    }

    /// Returns the lines of the gateways' logs that contain `text`, such as the name of a request.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let gateway_lines = |gateway: &GatewayProcess| {
            let lines = gateway.log.lines_containing(text).into_iter();
            lines.map(|line| format!("{}: {line}", gateway.name)).collect::<Vec<_>>()
        };
        self.gateways.iter().flat_map(gateway_lines).collect()
    }
}

async fn wait_until(component: &str, mut is_up: impl FnMut() -> bool) -> Result<(), DeploymentError> {
    let poll = async {
        while !is_up() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(STARTUP_TIMEOUT, poll).await.map_err(|_| DeploymentError::NotReady(component.to_string()))
}

fn write_config(folder: &Path, text: &str) -> io::Result<()> {
    fs::write(folder.join(CONFIG_FILE), text)
}

/// Waits until a gateway reports that it is ready.
pub async fn wait_until_ready(address: SocketAddr) -> Result<(), DeploymentError> {
    let ready = async {
        while client::ready_status(address).await != Some(200) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(GATEWAY_READY_TIMEOUT, ready).await.map_err(|_| DeploymentError::NotReady(address.to_string()))
}
