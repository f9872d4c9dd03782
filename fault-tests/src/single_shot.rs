//! Test of non-repeatable requests whose prefills are cancelled right before the gateway responds itself. In each seed, links
//! withhold bytes and closes around the deadlines of the requests, and some of the gateways are sent SIGTERM.
//!
//! A response that declares a retry to be safe must be accurate, which [`Invariant::RejectionIsTrue`] and
//! [`Invariant::AtMostOnce`] check. Other violations are reported but do not fail the test: links that withhold everything for
//! up to 300 ms leave a release less time than in the soak test.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use crate::client::{self, ClientRequest};
use crate::clock;
use crate::deployment::{Deployment, DeploymentError, DeploymentSpec, GatewayProcess};
use crate::invariants::{check_invariants, Invariant, Violation};
use crate::network::{Condition, Link};
use crate::record::{Event, Record, Records};

const GATEWAYS: usize = 4;
const DECODE_SERVERS: usize = 3;
/// One server, so that a request whose attempt was cancelled has tried all of them.
const PREFILL_SERVERS: usize = 1;
/// Minimum and maximum time of a prefill.
const PREFILL_TIME_MS: (u64, u64) = (2, 8);
/// Minimum and maximum time until a decode server's first token.
const DECODE_TIME_MS: (u64, u64) = (2, 8);
/// Time at which an attempt that others have overtaken is cancelled, and its request has missed its objective.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(100);
/// Number of requests before each burst, while there are no faults.
const WARM_UP_REQUESTS: u32 = 12;
const WARM_UP_PAUSE: Duration = Duration::from_millis(15);
const WARM_UP_DEADLINE: Duration = Duration::from_secs(1);
/// Number of consecutive bursts of requests to each gateway, and of requests in a burst.
const BURSTS: usize = 2;
const BURST_REQUESTS: std::ops::RangeInclusive<usize> = 10..=14;
/// Number of sessions; the requests of a session prefer the same prefill server.
const SESSIONS: u64 = 200;
/// Delay of a request within its burst.
const SEND_DELAY_MS: std::ops::RangeInclusive<u64> = 0..=40;
/// Deadline for the first token.
const DEADLINE_MS: std::ops::RangeInclusive<u64> = 150..=400;
/// Start of the blackhole of a link after the start of a burst, its duration, and the share of the links that are blackholed.
const BLACKHOLE_DELAY_MS: std::ops::RangeInclusive<u64> = 30..=250;
const BLACKHOLE_DURATION_MS: std::ops::RangeInclusive<u64> = 5..=300;
const BLACKHOLED_LINK_SHARE: f64 = 0.5;
/// While the requests of a burst are sent and the first attempts are cancelled, each link alternates between random delays and
/// none in turns of this length, so that some attempts overtake others.
const DELAY_TURN_MS: std::ops::RangeInclusive<u64> = 5..=20;
const LINK_DELAY_MS: std::ops::RangeInclusive<u64> = 150..=300;
const DELAYED_TURN_SHARE: f64 = 0.5;
const DELAY_PHASE: Duration = Duration::from_millis(250);
/// Share of the gateways that are sent SIGTERM in one of their bursts, and the time from the start of the burst to it.
const TERMINATED_SHARE: f64 = 0.5;
const SIGTERM_DELAY_MS: std::ops::RangeInclusive<u64> = 30..=350;
/// Time after the bursts within which withheld bytes arrive and their work ends.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Options of the `single-shot` command.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds, run one after the other.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Path of the gateway's binary.
    #[arg(long, default_value = "target/release/glenrail")]
    pub gateway: PathBuf,
}

/// Result of one seed.
#[derive(Debug)]
pub struct Report {
    pub seed: u64,
    /// Number of requests by status; 0 counts requests without a response.
    pub statuses: BTreeMap<u16, usize>,
    /// Number of gateways that were sent SIGTERM.
    pub terminated: usize,
    /// Violations of the two invariants that this test checks.
    pub violations: Vec<Violation>,
    /// Number of other violations by invariant.
    pub others: BTreeMap<String, usize>,
    /// Records and lines of the gateways' logs about the request of the first violation.
    pub trace: Vec<String>,
}

impl Report {
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: statuses {:?}, {} gateways terminated, {} violations, of other invariants {:?}",
            self.seed,
            self.statuses,
            self.terminated,
            self.violations.len(),
            self.others
        )?;
        self.violations.iter().try_for_each(|violation| writeln!(f, "  broken: {violation}"))?;
        self.trace.iter().try_for_each(|line| writeln!(f, "  trace: {line}"))
    }
}

/// Runs one seed.
pub async fn run(options: &Options, seed: u64, program: &Path) -> Result<Report, DeploymentError> {
    let mut spec = DeploymentSpec::new(GATEWAYS, PREFILL_SERVERS, DECODE_SERVERS)
        .with_decode_time(DECODE_TIME_MS.0, DECODE_TIME_MS.1);
    spec.latency_objective = LATENCY_OBJECTIVE;
    spec.engines.iter_mut().take(PREFILL_SERVERS).for_each(|engine| engine.service_time_ms = PREFILL_TIME_MS);
    let deployment = Deployment::start(spec, program, &options.gateway).await?;
    let mut gateway_tasks = JoinSet::new();
    for (index, gateway) in deployment.gateways.iter().enumerate() {
        let links = (0..PREFILL_SERVERS).map(|engine| deployment.links[&(index, engine)].clone()).collect();
        let plan = TerminationPlan::random(seed, index);
        gateway_tasks
            .spawn(GatewayBursts::new(gateway, links, &deployment.records, seed, index).run_bursts(plan));
    }
    let mut statuses = BTreeMap::new();
    let mut terminated = 0;
    while let Some(outcome) = gateway_tasks.join_next().await {
        // A task that panicked contributes no statuses.
        let outcome = outcome.unwrap_or_default();
        outcome
            .statuses
            .into_iter()
            .for_each(|status| *statuses.entry(status.unwrap_or(0)).or_default() += 1);
        terminated += usize::from(outcome.terminated);
    }
    sleep(SETTLE_TIME).await;
    Ok(report(seed, statuses, terminated, &deployment))
}

fn report(seed: u64, statuses: BTreeMap<u16, usize>, terminated: usize, deployment: &Deployment) -> Report {
    let records = deployment.records.all();
    let all_violations = check_invariants(&records, deployment.spec.lease_limit, clock::now());
    let is_checked = |violation: &Violation| {
        matches!(violation.invariant, Invariant::RejectionIsTrue | Invariant::AtMostOnce)
    };
    let (violations, other_violations): (Vec<_>, Vec<_>) = all_violations.into_iter().partition(is_checked);
    let mut others = BTreeMap::new();
    other_violations
        .iter()
        .for_each(|other| *others.entry(format!("{:?}", other.invariant)).or_default() += 1);
    let trace = violations.first().map_or_else(Vec::new, |first| trace(&records, &first.request, deployment));
    Report { seed, statuses, terminated, violations, others, trace }
}

/// Returns the records of a request and of the gateways' processes, and the lines of the gateways' logs about the request.
fn trace(records: &[Record], request: &str, deployment: &Deployment) -> Vec<String> {
    let concerns = |of: &str| of == request || of.is_empty();
    let record_lines = records.iter().filter(|record| concerns(record.event.request()));
    let record_lines = record_lines.map(|record| serde_json::to_string(record).unwrap_or_default());
    record_lines.chain(deployment.log_lines(request)).collect()
}

/// Burst of a gateway in which it is sent SIGTERM; `None` if it is not.
#[derive(Clone, Copy, Debug)]
struct TerminationPlan {
    terminated_in: Option<usize>,
}

impl TerminationPlan {
    fn random(seed: u64, gateway: usize) -> TerminationPlan {
        let mut random = StdRng::seed_from_u64(seed ^ (gateway as u64) << 32);
        let is_terminated = random.random_bool(TERMINATED_SHARE);
        TerminationPlan { terminated_in: is_terminated.then(|| random.random_range(0..BURSTS)) }
    }
}

/// Outcomes of the requests to one gateway.
#[derive(Debug, Default)]
struct Outcome {
    statuses: Vec<Option<u16>>,
    terminated: bool,
}

/// Bursts of requests to one gateway.
struct GatewayBursts {
    gateway: String,
    address: std::net::SocketAddr,
    process: crate::process::SignalTarget,
    links: Vec<Link>,
    records: Records,
    random: StdRng,
    prefix: String,
}

impl GatewayBursts {
    fn new(
        gateway: &GatewayProcess, links: Vec<Link>, records: &Records, seed: u64, index: usize,
    ) -> GatewayBursts {
        GatewayBursts {
            gateway: gateway.name.clone(),
            address: gateway.address,
            process: gateway.process.signal_target(),
            links,
            records: records.clone(),
            random: StdRng::seed_from_u64(seed << 8 | index as u64),
            prefix: format!("{seed:x}-{index}"),
        }
    }

    async fn run_bursts(mut self, plan: TerminationPlan) -> Outcome {
        let mut outcome = Outcome::default();
        for burst in 0..BURSTS {
            let terminates = plan.terminated_in == Some(burst);
            outcome.statuses.extend(self.burst(burst, terminates).await);
            if terminates {
                outcome.terminated = true;
                break;
            }
        }
        outcome
    }

    /// Sends requests in short succession, from which the gateway learns the speed of its servers.
    async fn warm_up(&self, burst: usize) {
        let mut requests = JoinSet::new();
        for number in 0..WARM_UP_REQUESTS {
            let id = format!("{}-{burst}-warm{number}", self.prefix);
            let mut request = ClientRequest::new(id, "item-query", WARM_UP_DEADLINE, true);
            request.session = u64::from(number);
            request.first_byte_after = WARM_UP_PAUSE * number;
            let (gateway, address, records) = (self.gateway.clone(), self.address, self.records.clone());
            requests.spawn(async move { client::send_request(&gateway, address, request, &records).await });
        }
        requests.join_all().await;
    }

    /// Sends one burst of requests while the links are disturbed, and sends the gateway SIGTERM if `terminates` is set.
    async fn burst(&mut self, burst: usize, terminates: bool) -> Vec<Option<u16>> {
        self.warm_up(burst).await;
        let disturbances = self.disturb_links();
        let termination = self.terminate_during_burst(terminates);
        let mut requests = JoinSet::new();
        for number in 0..self.random.random_range(BURST_REQUESTS) {
            let id = format!("{}-{burst}-{number}", self.prefix);
            let mut request = ClientRequest::new(id, "order-chat", self.random_time(DEADLINE_MS), false);
            request.session = self.random.random_range(0..SESSIONS);
            request.first_byte_after = self.random_time(SEND_DELAY_MS);
            let (gateway, address, records) = (self.gateway.clone(), self.address, self.records.clone());
            requests.spawn(async move { client::send_request(&gateway, address, request, &records).await });
        }
        let requests = requests.join_all();
        tokio::join!(requests, disturbances, termination).0
    }

    fn random_time(&mut self, within_ms: std::ops::RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(within_ms))
    }

    /// Delays the links in turns, and blackholes some of them for a while.
    fn disturb_links(&mut self) -> impl Future<Output = ()> + Send + use<> {
        let mut link_tasks = JoinSet::new();
        for link in self.links.clone() {
            link_tasks.spawn(delay_in_turns(link.clone(), self.random.random()));
            let (after, duration) =
                (self.random_time(BLACKHOLE_DELAY_MS), self.random_time(BLACKHOLE_DURATION_MS));
            if self.random.random_bool(BLACKHOLED_LINK_SHARE) {
                link_tasks.spawn(async move {
                    sleep(after).await;
                    link.set(Condition::Blackholed);
                    sleep(duration).await;
                    link.set(Condition::Open);
                });
            }
        }
        async move { while link_tasks.join_next().await.is_some() {} }
    }

    /// Sends the gateway SIGTERM after a random time if `terminates` is set.
    fn terminate_during_burst(&mut self, terminates: bool) -> impl Future<Output = ()> + Send + use<> {
        let after = self.random_time(SIGTERM_DELAY_MS);
        let (name, process, records) = (self.gateway.clone(), self.process, self.records.clone());
        async move {
            if !terminates {
                return;
            }
            sleep(after).await;
            records.add(&name, Event::GatewayTerminated);
            process.signal(Signal::TERM);
        }
    }
}

/// Delays a link in random turns until the delay phase ends.
async fn delay_in_turns(link: Link, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let until = Instant::now() + DELAY_PHASE;
    while Instant::now() < until {
        let is_delayed = random.random_bool(DELAYED_TURN_SHARE);
        let delay = if is_delayed { random.random_range(LINK_DELAY_MS) } else { 0 };
        link.set_delay(Duration::from_millis(delay));
        sleep(Duration::from_millis(random.random_range(DELAY_TURN_MS))).await;
    }
    link.set_delay(Duration::ZERO);
}
