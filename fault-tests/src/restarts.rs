//! Restarts of gateways: planned ones (SIGTERM, then SIGKILL as early as the platform sends it), kills, and signal series.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::sync::RwLock;
use tokio::time::{sleep, sleep_until, Instant};

use crate::deployment::{ConfigFile, Deployment, DeploymentError};
use crate::front::Front;
use crate::record::Event;

/// Time from SIGTERM to the platform's SIGKILL: 0.7 s plus the longest deadline, which counts as at most 3 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Time after SIGTERM for which the gateway still receives new connections.
const ADMITTED_AFTER_SIGTERM_MS: std::ops::Range<u64> = 200..400;
/// Pause between two restarts.
const RESTART_PAUSE_MS: std::ops::Range<u64> = 300..1_500;
/// Share of the restarts that are planned; the others are kills.
const PLANNED_SHARE: f64 = 0.8;
/// Share of the planned restarts with further signals, the maximum number of these, and their delays after SIGTERM.
const SIGNAL_SERIES_SHARE: f64 = 0.6;
const MAX_SIGNALS: usize = 4;
const SERIES_SIGNAL_DELAY_MS: std::ops::Range<u64> = 0..2_000;
/// Share of the restarts during which discovery does not respond.
const DISCOVERY_DOWN_SHARE: f64 = 0.2;
/// Interval at which a process that was sent SIGTERM is polled for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Restart of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Restart {
    pub gateway: usize,
    /// Time from the start of the run to the start of the restart.
    pub at: Duration,
    pub planned: bool,
    /// Names of the further signals of a planned restart.
    pub series: Vec<&'static str>,
    pub discovery_down: bool,
    /// Time from the start of the new process until it was ready.
    pub ready_after: Duration,
}

/// Further signal during a planned restart.
#[derive(Clone, Copy, Debug)]
enum SeriesSignal {
    Terminate,
    Interrupt,
    ReloadValid,
    ReloadMalformed,
}

impl SeriesSignal {
    fn random(random: &mut StdRng) -> SeriesSignal {
        match random.random_range(0..4) {
            0 => SeriesSignal::Terminate,
            1 => SeriesSignal::Interrupt,
            2 => SeriesSignal::ReloadValid,
            _ => SeriesSignal::ReloadMalformed,
        }
    }

    fn name(self) -> &'static str {
        match self {
            SeriesSignal::Terminate => "SIGTERM",
            SeriesSignal::Interrupt => "SIGINT",
            SeriesSignal::ReloadValid => "SIGHUP",
            SeriesSignal::ReloadMalformed => "SIGHUP with a faulty file",
        }
    }

    fn send(self, deployment: &Deployment, gateway: usize) -> Result<(), DeploymentError> {
        let (file, signal) = match self {
            SeriesSignal::Terminate => (ConfigFile::Valid, Signal::TERM),
            SeriesSignal::Interrupt => (ConfigFile::Valid, Signal::INT),
            SeriesSignal::ReloadValid => (ConfigFile::Valid, Signal::HUP),
            SeriesSignal::ReloadMalformed => (ConfigFile::Malformed, Signal::HUP),
        };
        deployment.write_config(gateway, file)?;
        deployment.gateways[gateway].process.signal(signal);
        Ok(())
    }
}

/// Restarts random gateways, one at a time, until `until`.
pub async fn run(
    deployment: Arc<RwLock<Deployment>>, front: Arc<Front>, seed: u64, until: Instant,
) -> Result<Vec<Restart>, DeploymentError> {
    let mut random = StdRng::seed_from_u64(seed ^ 0x7e57);
    let (began, mut restarts) = (Instant::now(), Vec::new());
    loop {
        sleep(Duration::from_millis(random.random_range(RESTART_PAUSE_MS))).await;
        if Instant::now() >= until {
            return Ok(restarts);
        }
        let gateway = random.random_range(0..deployment.read().await.gateways.len());
        let restart = Restart {
            gateway,
            at: began.elapsed(),
            planned: random.random_bool(PLANNED_SHARE),
            series: Vec::new(),
            discovery_down: random.random_bool(DISCOVERY_DOWN_SHARE),
            ready_after: Duration::ZERO,
        };
        restarts.push(perform_restart(restart, &deployment, &front, &mut random).await?);
    }
}

async fn perform_restart(
    mut restart: Restart, deployment: &RwLock<Deployment>, front: &Front, random: &mut StdRng,
) -> Result<Restart, DeploymentError> {
    let gateway = restart.gateway;
    if restart.discovery_down {
        deployment.read().await.gateways[gateway].agent.set_down(true);
    }
    if restart.planned {
        restart.series = shut_down_as_planned(deployment, front, gateway, random).await?;
    }
    front.set_admitted(gateway, false);
    deployment.write().await.end_gateway(gateway).await?;
    let started = Instant::now();
    deployment.write().await.respawn_gateway(gateway)?;
    let address = deployment.read().await.gateways[gateway].address;
    crate::deployment::wait_until_ready(address).await?;
    restart.ready_after = started.elapsed();
    deployment.read().await.gateways[gateway].agent.set_down(false);
    front.set_admitted(gateway, true);
    Ok(restart)
}

/// Sends a gateway SIGTERM, possibly with a series of further signals, and waits until it has exited or the kill is due.
/// Returns the names of the further signals.
async fn shut_down_as_planned(
    deployment: &RwLock<Deployment>, front: &Front, gateway: usize, random: &mut StdRng,
) -> Result<Vec<&'static str>, DeploymentError> {
    let mut series: Vec<(u64, SeriesSignal)> = Vec::new();
    if random.random_bool(SIGNAL_SERIES_SHARE) {
        for _ in 0..random.random_range(1..=MAX_SIGNALS) {
            series.push((random.random_range(SERIES_SIGNAL_DELAY_MS), SeriesSignal::random(random)));
        }
        series.sort_by_key(|(after, _)| *after);
    }
    if random.random_bool(SIGNAL_SERIES_SHARE) {
        SeriesSignal::ReloadValid.send(&*deployment.read().await, gateway)?;
    }
    {
        let locked = deployment.read().await;
        locked.records.add(&locked.gateways[gateway].name, Event::GatewayTerminated);
        locked.gateways[gateway].process.signal(Signal::TERM);
    }
    front.note_termination(gateway);
    let terminated_at = Instant::now();
    let withdrawn_at = terminated_at + Duration::from_millis(random.random_range(ADMITTED_AFTER_SIGTERM_MS));
    let names = series.iter().map(|(_, signal)| signal.name()).collect();
    let mut signals = series.into_iter().peekable();
    loop {
        let now = Instant::now();
        if now >= withdrawn_at {
            front.set_admitted(gateway, false);
        }
        if let Some((_, signal)) =
            signals.next_if(|(after, _)| now >= terminated_at + Duration::from_millis(*after))
        {
            signal.send(&*deployment.read().await, gateway)?;
        }
        let has_ended = deployment.write().await.gateways[gateway].process.has_ended();
        if has_ended || now >= terminated_at + KILL_DELAY {
            // Connections to the ended process are refused until the front withdraws it.
            sleep_until(withdrawn_at).await;
            return Ok(names);
        }
        sleep(POLL_INTERVAL).await;
    }
}
