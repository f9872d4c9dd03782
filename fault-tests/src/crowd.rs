//! Test of a gateway's connection table: many idle clients fill it beside one well-behaved client.
//!
//! The idle clients connect, send nothing, and reconnect some time after they were evicted. The well-behaved client opens a
//! connection for each request, delays its first byte as a slow network would, sends the request, and waits for its response.

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
/// Time in which the idle clients fill the table.
const FILL_TIME: Duration = Duration::from_millis(1_000);
const PREFILL_SERVERS: usize = 2;
const DECODE_SERVERS: usize = 2;

/// Options of the `crowd` command.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// The gateway's limit of file descriptors.
    #[arg(long, default_value_t = 64)]
    pub sockets: usize,
    /// Number of clients that connect and send nothing.
    #[arg(long, default_value_t = 80)]
    pub idle_clients: usize,
    /// Time after which an evicted idle client reconnects (ms).
    #[arg(long, default_value_t = 20)]
    pub back_after: u64,
    /// Delay between a connection of the well-behaved client and its first byte (ms).
    #[arg(long, default_value_t = 0)]
    pub first_byte_after: u64,
    /// Number of requests that the well-behaved client sends, one after the other.
    #[arg(long, default_value_t = 150)]
    pub requests: usize,
    /// Path of the gateway's binary.
    #[arg(long, default_value = "target/release/glenrail")]
    pub gateway: PathBuf,
}

/// Outcomes of the requests.
#[derive(Debug)]
pub struct Report {
    /// Number of requests by status; 0 counts requests without a response.
    pub statuses: BTreeMap<u16, usize>,
    /// Lines of the gateway's log that mention connections.
    pub log: Vec<String>,
}

impl Report {
    /// Returns the number of requests without a response.
    pub fn unanswered(&self) -> usize {
        self.statuses.get(&0).copied().unwrap_or(0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "statuses {:?}, {} without a response", self.statuses, self.unanswered())?;
        self.log.iter().try_for_each(|line| writeln!(f, "  log: {line}"))
    }
}

/// Runs the test once.
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

/// File descriptor limit of a gateway whose connection table a crowd is to fill.
pub const CROWD_MAX_DESCRIPTORS: usize = 256;
/// Number of idle clients of one gateway, and the delay with which evicted ones reconnect.
const CLIENTS_PER_GATEWAY: usize = 150;
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Starts a crowd of idle clients at each of these gateways. Its clients leave when it is dropped.
pub fn start(gateways: impl IntoIterator<Item = SocketAddr>) -> JoinSet<()> {
    let mut crowd = JoinSet::new();
    for address in gateways {
        for _ in 0..CLIENTS_PER_GATEWAY {
            crowd.spawn(run_idle_client(address, RECONNECT_DELAY));
        }
    }
    crowd
}

/// Connects without sending, and reconnects `reconnect_delay` after each end of the connection.
async fn run_idle_client(address: SocketAddr, reconnect_delay: Duration) {
    loop {
        if let Ok(mut socket) = TcpStream::connect(address).await {
            // Returns when the gateway closes or resets the connection.
            let _ = socket.read(&mut [0]).await;
        }
        sleep(reconnect_delay).await;
    }
}
