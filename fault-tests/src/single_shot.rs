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
use crate::invariants::{judge, Invariant, Violation};
use crate::network::{Condition, Link};
use crate::record::{Event, Record, Records};

const GATEWAYS: usize = 4;
const DECODE_SERVERS: usize = 3;
/// So few that a request whose attempt is cancelled has tried all.
const PREFILL_SERVERS: usize = 1;
/// The least and the most time that a prefill takes (ms).
const PREFILL_TIME: (u64, u64) = (2, 8);
/// The least and the most time to a decode server's first token (ms).
const DECODE_TIME: (u64, u64) = (2, 8);
/// An attempt that others overtake is cancelled at about this time, and its request is late by then.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(100);
/// Requests before each burst, while nothing disturbs.
const WARM_UP: u32 = 12;
const WARM_UP_PAUSE: Duration = Duration::from_millis(15);
const WARM_UP_DEADLINE: Duration = Duration::from_secs(1);
/// Bursts of requests at each gateway, one after the other, and the requests of one.
const BURSTS: usize = 2;
const BURST_REQUESTS: std::ops::RangeInclusive<usize> = 10..=14;
/// Requests of one session go to the same prefill server where they can.
const SESSIONS: u64 = 200;
/// The requests of one burst are sent within this time (ms).
const SENT_WITHIN: std::ops::RangeInclusive<u64> = 0..=40;
/// What clients wait for a first token (ms).
const DEADLINES: std::ops::RangeInclusive<u64> = 150..=400;
/// Links hold everything back from so long after the first request of a burst (ms), for so long, some of them.
const HELD_AFTER: std::ops::RangeInclusive<u64> = 30..=250;
const HELD_FOR: std::ops::RangeInclusive<u64> = 5..=300;
const HELD_LINKS: f64 = 0.5;
/// While the requests of a burst are sent and the first attempts are cancelled, each link delays what passes, or does not, in
/// turns of this length (ms), so that some attempts overtake others.
const DELAYED_FOR: std::ops::RangeInclusive<u64> = 5..=20;
const DELAYS: std::ops::RangeInclusive<u64> = 150..=300;
const DELAYED_TURNS: f64 = 0.5;
const DELAYS_UNTIL: Duration = Duration::from_millis(250);
/// Share of the gateways that are told to end in one of their bursts, so long after its first request (ms).
const TERMINATED: f64 = 0.5;
const TERMINATED_AFTER: std::ops::RangeInclusive<u64> = 30..=350;
/// What was held back has arrived and ended by then.
const QUIET: Duration = Duration::from_millis(700);

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
        .with_decode_time(DECODE_TIME.0, DECODE_TIME.1);
    spec.latency_objective = LATENCY_OBJECTIVE;
    spec.engines.iter_mut().take(PREFILL_SERVERS).for_each(|engine| engine.service_time_ms = PREFILL_TIME);
    let deployment = Deployment::start(spec, program, &options.gateway).await?;
    let mut played = JoinSet::new();
    for (index, gateway) in deployment.gateways.iter().enumerate() {
        let links = (0..PREFILL_SERVERS).map(|engine| deployment.links[&(index, engine)].clone()).collect();
        let plan = Plan::random(seed, index);
        played.spawn(Bursts::new(gateway, links, &deployment.records, seed, index).play(plan));
    }
    let mut statuses = BTreeMap::new();
    let mut terminated = 0;
    while let Some(outcome) = played.join_next().await {
        // A task of this run that panics is a fault of its own.
        let outcome = outcome.unwrap_or_default();
        outcome
            .statuses
            .into_iter()
            .for_each(|status| *statuses.entry(status.unwrap_or(0)).or_default() += 1);
        terminated += usize::from(outcome.terminated);
    }
    sleep(QUIET).await;
    Ok(report(seed, statuses, terminated, &deployment))
}

fn report(seed: u64, statuses: BTreeMap<u16, usize>, terminated: usize, deployment: &Deployment) -> Report {
    let records = deployment.records.all();
    let found = judge(&records, deployment.spec.lease_limit, clock::now());
    let concerned = |violation: &Violation| {
        matches!(violation.invariant, Invariant::RejectionIsTrue | Invariant::AtMostOnce)
    };
    let (violations, rest): (Vec<_>, Vec<_>) = found.into_iter().partition(concerned);
    let mut others = BTreeMap::new();
    rest.iter().for_each(|other| *others.entry(format!("{:?}", other.invariant)).or_default() += 1);
    let trace = violations.first().map_or_else(Vec::new, |first| trace(&records, &first.request, deployment));
    Report { seed, statuses, terminated, violations, others, trace }
}

/// What was seen of a request and of the gateways' ends, and the lines of the gateways' logs about it.
fn trace(records: &[Record], request: &str, deployment: &Deployment) -> Vec<String> {
    let concerns = |of: &str| of == request || of.is_empty();
    let seen = records.iter().filter(|record| concerns(record.event.request()));
    let seen = seen.map(|record| serde_json::to_string(record).unwrap_or_default());
    seen.chain(deployment.log_lines(request)).collect()
}

/// Where in a gateway's bursts SIGTERM comes.
#[derive(Clone, Copy, Debug)]
struct Plan {
    terminated_in: Option<usize>,
}

impl Plan {
    fn random(seed: u64, gateway: usize) -> Plan {
        let mut random = StdRng::seed_from_u64(seed ^ (gateway as u64) << 32);
        let is_terminated = random.random_bool(TERMINATED);
        Plan { terminated_in: is_terminated.then(|| random.random_range(0..BURSTS)) }
    }
}

/// What became of the requests at one gateway.
#[derive(Debug, Default)]
struct Outcome {
    statuses: Vec<Option<u16>>,
    terminated: bool,
}

/// The bursts at one gateway.
struct Bursts {
    gateway: String,
    address: std::net::SocketAddr,
    process: crate::process::SignalTarget,
    links: Vec<Link>,
    records: Records,
    random: StdRng,
    prefix: String,
}

impl Bursts {
    fn new(gateway: &GatewayProcess, links: Vec<Link>, records: &Records, seed: u64, index: usize) -> Bursts {
        Bursts {
            gateway: gateway.name.clone(),
            address: gateway.address,
            process: gateway.process.signal_target(),
            links,
            records: records.clone(),
            random: StdRng::seed_from_u64(seed << 8 | index as u64),
            prefix: format!("{seed:x}-{index}"),
        }
    }

    async fn play(mut self, plan: Plan) -> Outcome {
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
        let mut asked = JoinSet::new();
        for number in 0..WARM_UP {
            let id = format!("{}-{burst}-warm{number}", self.prefix);
            let mut ask = ClientRequest::new(id, "item-query", WARM_UP_DEADLINE, true);
            ask.session = u64::from(number);
            ask.first_byte_after = WARM_UP_PAUSE * number;
            let (gateway, address, records) = (self.gateway.clone(), self.address, self.records.clone());
            asked.spawn(async move { client::send_request(&gateway, address, ask, &records).await });
        }
        asked.join_all().await;
    }

    /// Sends some requests at about the same time; meanwhile links hold back, and the gateway is told to end if `terminates`.
    async fn burst(&mut self, burst: usize, terminates: bool) -> Vec<Option<u16>> {
        self.warm_up(burst).await;
        let disturbances = self.disturb();
        let signal = self.signal(terminates);
        let mut asked = JoinSet::new();
        for number in 0..self.random.random_range(BURST_REQUESTS) {
            let id = format!("{}-{burst}-{number}", self.prefix);
            let mut ask = ClientRequest::new(id, "order-chat", self.random_time(DEADLINES), false);
            ask.session = self.random.random_range(0..SESSIONS);
            ask.first_byte_after = self.random_time(SENT_WITHIN);
            let (gateway, address, records) = (self.gateway.clone(), self.address, self.records.clone());
            asked.spawn(async move { client::send_request(&gateway, address, ask, &records).await });
        }
        let asked = asked.join_all();
        tokio::join!(asked, disturbances, signal).0
    }

    fn random_time(&mut self, within_ms: std::ops::RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(within_ms))
    }

    /// Has links delay what passes, and hold everything back for a while.
    fn disturb(&mut self) -> impl Future<Output = ()> + Send + use<> {
        let mut disturbed = JoinSet::new();
        for link in self.links.clone() {
            disturbed.spawn(delay_in_turns(link.clone(), self.random.random()));
            let (after, lasts) = (self.random_time(HELD_AFTER), self.random_time(HELD_FOR));
            if self.random.random_bool(HELD_LINKS) {
                disturbed.spawn(async move {
                    sleep(after).await;
                    link.set(Condition::Blackholed);
                    sleep(lasts).await;
                    link.set(Condition::Open);
                });
            }
        }
        async move { while disturbed.join_next().await.is_some() {} }
    }

    /// Tells the gateway to end, some time into the burst.
    fn signal(&mut self, terminates: bool) -> impl Future<Output = ()> + Send + use<> {
        let after = self.random_time(TERMINATED_AFTER);
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
    let until = Instant::now() + DELAYS_UNTIL;
    while Instant::now() < until {
        let is_delayed = random.random_bool(DELAYED_TURNS);
        let delay = if is_delayed { random.random_range(DELAYS) } else { 0 };
        link.delay(Duration::from_millis(delay));
        sleep(Duration::from_millis(random.random_range(DELAYED_FOR))).await;
    }
    link.delay(Duration::ZERO);
}
