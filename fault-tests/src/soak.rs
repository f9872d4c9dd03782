//! Soak test: a deployment under load with random, overlapping faults, checked against the invariants.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::RwLock;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use crate::client::{self, ClientRequest};
use crate::deployment::{Deployment, DeploymentError, DeploymentSpec};
use crate::faults::ScheduledFault;
use crate::front::Front;
use crate::invariants::check_invariants;
use crate::record::Records;
use crate::report::collect_evidence;
pub use crate::report::Report;
use crate::restarts::Restart;
use crate::sessions::Outcomes;
use crate::{clock, crowd, restarts, sessions};

/// Maximum deadline of clients for the first token.
const MAX_DEADLINE: Duration = Duration::from_secs(4);
/// Time after the last request within which all work ends.
const SETTLE_TIME: Duration = Duration::from_millis(5_500);
/// Pause between the starts of two faults.
const FAULT_PAUSE_MS: std::ops::RangeInclusive<u64> = 100..=700;
/// Share of the clients that may disconnect before their response.
const DISCONNECT_SHARE: f64 = 0.1;
/// Maximum time until such a client disconnects.
const MAX_DISCONNECT_DELAY_MS: u64 = 600;

/// Options of the `soak` command.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds, run one after the other.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Time for which faults are injected (s).
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    #[arg(long, default_value_t = 4)]
    pub gateways: usize,
    #[arg(long, default_value_t = 9)]
    pub readers: usize,
    #[arg(long, default_value_t = 11)]
    pub writers: usize,
    /// Requests per second to all gateways together.
    #[arg(long, default_value_t = 60.0)]
    pub rate: f64,
    /// Forbid the gateways to probe engines.
    #[arg(long)]
    pub no_probes: bool,
    /// Restart gateways, and add clients with persistent connections.
    #[arg(long)]
    pub restarts: bool,
    /// Fill the gateways' connection tables with idle clients.
    #[arg(long)]
    pub crowd: bool,
    /// Path of the gateway's binary.
    #[arg(long, default_value = "target/release/glenrail")]
    pub gateway: PathBuf,
}

/// Runs one seed.
pub async fn run(options: &Options, seed: u64, program: &Path) -> Result<Report, DeploymentError> {
    let mut spec = DeploymentSpec::new(options.gateways, options.readers, options.writers);
    spec.deadline = MAX_DEADLINE;
    spec.probes = !options.no_probes;
    if options.crowd {
        spec.max_descriptors = crowd::CROWD_MAX_DESCRIPTORS;
    }
    let lease_limit = spec.lease_limit;
    let deployment = Deployment::start(spec, program, &options.gateway).await?;
    let records = deployment.records.clone();
    let gateways: Vec<_> = deployment.gateways.iter().map(|g| (g.name.clone(), g.address)).collect();
    let deployment = Arc::new(RwLock::new(deployment));
    let until = Instant::now() + Duration::from_secs(options.seconds);
    let front = Arc::new(Front::new(gateways.clone()));
    let crowd = options.crowd.then(|| crowd::start(gateways.iter().map(|(_, address)| *address)));
    let load = tokio::spawn(generate_load(front.clone(), records.clone(), options.rate, seed, until));
    let sessions_result = sessions_and_restarts(options, &deployment, &front, &records, seed, until);
    let (drawn_faults, sessions_result) =
        tokio::join!(inject_faults(deployment.clone(), seed, until), sessions_result);
    let (drawn_faults, (sessions, restarts)) = (drawn_faults?, sessions_result?);
    let statuses = load.await.unwrap_or_default();
    drop(crowd);
    sleep(SETTLE_TIME).await;
    let all_records = records.all();
    let violations = check_invariants(&all_records, lease_limit, clock::now());
    let deployment = deployment.read().await;
    let lateness = deployment.lateness.snapshot();
    let reported = deployment.log_lines("invariant broken");
    let evidence = violations
        .first()
        .map_or_else(Vec::new, |violation| collect_evidence(violation, &all_records, &deployment, &lateness));
    Ok(Report {
        seed,
        faults: drawn_faults,
        requests: statuses.values().sum(),
        statuses,
        sessions,
        restarts,
        violations,
        evidence,
        reported_violations: reported,
        lateness,
    })
}

/// Runs clients with persistent connections beside restarts, if the options include them.
async fn sessions_and_restarts(
    options: &Options, deployment: &Arc<RwLock<Deployment>>, front: &Arc<Front>, records: &Records,
    seed: u64, until: Instant,
) -> Result<(Outcomes, Vec<Restart>), DeploymentError> {
    if !options.restarts {
        return Ok(Default::default());
    }
    let sessions = sessions::run(front.clone(), records.clone(), MAX_DEADLINE, seed, until);
    let restarts = restarts::run(deployment.clone(), front.clone(), seed, until);
    let (sessions, restarts) = tokio::join!(sessions, restarts);
    Ok((sessions, restarts?))
}

/// Injects random faults until `until`, ends each after its duration, and returns their descriptions.
async fn inject_faults(
    deployment: Arc<RwLock<Deployment>>, seed: u64, until: Instant,
) -> Result<Vec<String>, DeploymentError> {
    let mut random = StdRng::seed_from_u64(seed);
    let began = Instant::now();
    let (mut drawn_faults, mut fault_ends) = (Vec::new(), JoinSet::new());
    while Instant::now() < until {
        sleep(Duration::from_millis(random.random_range(FAULT_PAUSE_MS))).await;
        let mut locked = deployment.write().await;
        let scheduled = ScheduledFault::random(&locked, &mut random);
        scheduled.begin(&mut locked).await?;
        drop(locked);
        drawn_faults.push(format!(
            "{:.3} s {:?} for {:?}",
            began.elapsed().as_secs_f64(),
            scheduled.fault,
            scheduled.duration
        ));
        let deployment = deployment.clone();
        fault_ends.spawn(async move {
            sleep(scheduled.duration).await;
            scheduled.end(&mut *deployment.write().await);
        });
    }
    while fault_ends.join_next().await.is_some() {}
    Ok(drawn_faults)
}

/// Sends requests until `until`, and returns their number by status; 0 counts requests without a response.
async fn generate_load(
    front: Arc<Front>, records: Records, rate: f64, seed: u64, until: Instant,
) -> std::collections::BTreeMap<u16, usize> {
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut in_flight = JoinSet::new();
    let mut number = 0u64;
    while Instant::now() < until {
        // Exponentially distributed pauses, as between the requests of independent clients.
        let pause = -(1.0 - random.random::<f64>()).ln() / rate;
        sleep(Duration::from_secs_f64(pause)).await;
        number += 1;
        let repeatable = random.random_bool(0.5);
        let class = if repeatable { "item-query" } else { "order-chat" };
        let deadline = MAX_DEADLINE.mul_f64(random.random_range(0.5..=1.0));
        let mut request = ClientRequest::new(format!("{seed:x}-{number:x}"), class, deadline, repeatable);
        request.session = random.random_range(0..200);
        if random.random_bool(DISCONNECT_SHARE) {
            request.disconnects_after =
                Some(Duration::from_millis(random.random_range(1..=MAX_DISCONNECT_DELAY_MS)));
        }
        let gateway = front.choose(&mut random);
        let (name, address) = (gateway.name.clone(), gateway.address);
        let records = records.clone();
        in_flight.spawn(async move { client::send_request(&name, address, request, &records).await });
    }
    let mut statuses = std::collections::BTreeMap::new();
    while let Some(status) = in_flight.join_next().await {
        *statuses.entry(status.ok().flatten().unwrap_or(0)).or_default() += 1;
    }
    statuses
}
