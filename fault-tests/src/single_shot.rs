//! Requests of a class that may not be repeated, whose prefills are cut right before an answer in place of a server's: each
//! seed has gateways whose links hold bytes and closes back around the deadlines of their requests, some under SIGTERM.
//!
//! An answer that says that sending again is harmless must be true: judged by [`Invariant::RejectionIsTrue`] and
//! [`Invariant::AtMostOnce`]. What else the judge finds is reported beside it and decides nothing: links that hold everything
//! back for up to 300 ms leave a release less time than a soak does.

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
/// So few that a request whose attempt is cancelled has tried all.
const PREFILL_SERVERS: usize = 1;
/// The least and the most time that a prefill takes (ms).
const PREFILL_TIME_MS: (u64, u64) = (2, 8);
/// The least and the most time to a decode server's first token (ms).
const DECODE_TIME_MS: (u64, u64) = (2, 8);
/// An attempt that others overtake is cancelled at about this time, and its request is late by then.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(100);
/// Requests before each burst, while nothing disturbs.
const WARM_UP_REQUESTS: u32 = 12;
const WARM_UP_PAUSE: Duration = Duration::from_millis(15);
const WARM_UP_DEADLINE: Duration = Duration::from_secs(1);
/// Bursts of requests at each gateway, one after the other, and the requests of one.
const BURSTS: usize = 2;
const BURST_REQUESTS: std::ops::RangeInclusive<usize> = 10..=14;
/// Requests of one session go to the same prefill server where they can.
const SESSIONS: u64 = 200;
/// The requests of one burst are sent within this time (ms).
const SEND_DELAY_MS: std::ops::RangeInclusive<u64> = 0..=40;
/// What clients wait for a first token (ms).
const DEADLINE_MS: std::ops::RangeInclusive<u64> = 150..=400;
/// Links hold everything back from so long after the first request of a burst (ms), for so long, some of them.
const BLACKHOLE_DELAY_MS: std::ops::RangeInclusive<u64> = 30..=250;
const BLACKHOLE_DURATION_MS: std::ops::RangeInclusive<u64> = 5..=300;
const BLACKHOLED_LINK_SHARE: f64 = 0.5;
/// While the requests of a burst are sent and the first attempts are cancelled, each link delays what passes, or does not, in
/// turns of this length (ms), so that some attempts overtake others.
const DELAY_TURN_MS: std::ops::RangeInclusive<u64> = 5..=20;
const LINK_DELAY_MS: std::ops::RangeInclusive<u64> = 150..=300;
const DELAYED_TURN_SHARE: f64 = 0.5;
const DELAY_PHASE: Duration = Duration::from_millis(250);
/// Share of the gateways that are told to end in one of their bursts, so long after its first request (ms).
const TERMINATED_SHARE: f64 = 0.5;
const SIGTERM_DELAY_MS: std::ops::RangeInclusive<u64> = 30..=350;
/// What was held back has arrived and ended by then.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// How the seeds are played.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// The gateway's program.
    #[arg(long, default_value = "target/release/glenrail")]
    pub gateway: PathBuf,
}

/// What one seed gave.
#[derive(Debug)]
pub struct Report {
    pub seed: u64,
    /// Answers by status; 0 where there was none.
    pub statuses: BTreeMap<u16, usize>,
    /// Gateways that were told to end.
    pub terminated: usize,
    /// Breaks of the two rules that this run is about.
    pub violations: Vec<Violation>,
    /// Other breaks by their rule.
    pub others: BTreeMap<String, usize>,
    /// What was seen of the first violation's request, and what the gateways' logs say of it.
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
            "seed {}: statuses {:?}, {} gateways terminated, {} violations, of other rules {:?}",
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

/// Plays one seed.
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
        // A task of this run that panics is a fault of its own.
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

/// What was seen of a request and of the gateways' ends, and the lines of the gateways' logs about it.
fn trace(records: &[Record], request: &str, deployment: &Deployment) -> Vec<String> {
    let concerns = |of: &str| of == request || of.is_empty();
    let record_lines = records.iter().filter(|record| concerns(record.event.request()));
    let record_lines = record_lines.map(|record| serde_json::to_string(record).unwrap_or_default());
    record_lines.chain(deployment.log_lines(request)).collect()
}

/// Where in a gateway's bursts SIGTERM comes.
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

/// What became of the requests at one gateway.
#[derive(Debug, Default)]
struct Outcome {
    statuses: Vec<Option<u16>>,
    terminated: bool,
}

/// The bursts at one gateway.
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

    /// Lets the gateway learn how quick its servers are, from one request shortly after the other.
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

    /// Sends some requests at about the same time; meanwhile links hold back, and the gateway is told to end if `terminates`.
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

    /// Has links delay what passes, and hold everything back for a while.
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

    /// Tells the gateway to end, some time into the burst.
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

/// Has a link delay what passes in some turns, and not in others.
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
