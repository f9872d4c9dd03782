//! A crowd of idle clients that fill a gateway's connection table, and one well-behaved client among them.
//!
//! The idle clients connect, say nothing, and come back some time after they were evicted. The well-behaved client opens a
//! connection for each request, waits as long as a slow network would, sends, and waits for its answer.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::client::{self, ClientRequest};
use crate::deployment::{Deployment, DeploymentError, DeploymentSpec};

const DEADLINE: Duration = Duration::from_secs(9);
/// The idle clients have filled the table by then.
const FILL_TIME: Duration = Duration::from_millis(1_000);
const PREFILL_SERVERS: usize = 2;
const DECODE_SERVERS: usize = 2;

/// How the clients of a crowd behave.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// The gateway's limit of descriptors.
    #[arg(long, default_value_t = 64)]
    pub sockets: usize,
    /// Clients that connect and say nothing.
    #[arg(long, default_value_t = 80)]
    pub idle_clients: usize,
    /// An idle client comes back so long after it was evicted (ms).
    #[arg(long, default_value_t = 20)]
    pub back_after: u64,
    /// The well-behaved client sends its first byte so long after it has connected (ms).
    #[arg(long, default_value_t = 0)]
    pub first_byte_after: u64,
    /// Requests of the well-behaved client, one after the other.
    #[arg(long, default_value_t = 150)]
    pub requests: usize,
    /// The gateway's program.
    #[arg(long, default_value = "target/release/glenrail")]
    pub gateway: PathBuf,
}

/// What became of the requests.
#[derive(Debug)]
pub struct Report {
    /// Answers by status; 0 where the connection was closed with none.
    pub statuses: BTreeMap<u16, usize>,
    /// What the gateway's log says of connections that it closed.
    pub log: Vec<String>,
}

impl Report {
    /// Requests whose connection was closed with no answer.
    pub fn unanswered(&self) -> usize {
        self.statuses.get(&0).copied().unwrap_or(0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "statuses {:?}, {} closed with no answer", self.statuses, self.unanswered())?;
        self.log.iter().try_for_each(|line| writeln!(f, "  log: {line}"))
    }
}

/// Plays one crowd.
pub async fn run(options: &Options, program: &Path) -> Result<Report, DeploymentError> {
    let mut spec = DeploymentSpec::new(1, PREFILL_SERVERS, DECODE_SERVERS);
    spec.max_descriptors = options.sockets;
    let deployment = Deployment::start(spec, program, &options.gateway).await?;
    let address = deployment.gateways[0].address;
    let mut idle_clients = JoinSet::new();
    for _ in 0..options.idle_clients {
        idle_clients.spawn(run_idle_client(address, Duration::from_millis(options.back_after)));
    }
    sleep(FILL_TIME).await;
    let mut statuses = BTreeMap::new();
    for number in 0..options.requests {
        let mut request = ClientRequest::new(format!("{number:x}"), "item-query", DEADLINE, true);
        request.first_byte_after = Duration::from_millis(options.first_byte_after);
        let gateway = &deployment.gateways[0].name;
        let status = client::send_request(gateway, address, request, &deployment.records).await;
        *statuses.entry(status.unwrap_or(0)).or_default() += 1;
    }
    let log = deployment.log_lines("connection");
    Ok(Report { statuses, log })
}

/// Connects, sends nothing, and connects again once the connection has ended.
pub async fn run_idle_client(address: SocketAddr, reconnect_delay: Duration) {
    loop {
        if let Ok(mut socket) = TcpStream::connect(address).await {
            // It reads until the gateway ends the connection, in order or not.
            let _ = socket.read(&mut [0]).await;
        }
        sleep(reconnect_delay).await;
    }
}
