//! Faults that the soak test injects. Each has a start, a duration and an end, and several can be active at once.

use std::thread;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use rustix::process::Signal;

use crate::deployment::{Deployment, DeploymentError, GatewayProcess};
use crate::engine::Role;
use crate::network::{Condition, Link};
use crate::record::{Event, Records};

/// Maximum time for which the platform allows a gateway to be paused.
const GATEWAY_PAUSE: Duration = Duration::from_millis(150);
/// Duration of a fault.
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 200..=3_000;
/// Maximum share of the engines of a role that one fault blackholes.
const MAX_ROLE_SHARE: f64 = 0.8;
/// Delay of a link.
const LINK_DELAY_MS: std::ops::RangeInclusive<u64> = 10..=120;

/// Fault and what it affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// All links to these engines are blackholed; their connections are reset at the end if `resets` is set.
    Blackholed { engines: Vec<usize>, resets: bool },
    /// Like [`Fault::Blackholed`], and no new connection is established.
    Unconnectable { engines: Vec<usize> },
    /// One gateway's link to an engine is blackholed.
    BlackholedLink { gateway: usize, engine: usize },
    /// The open connections to an engine are permanently stalled; new ones work.
    StalledConnections { engine: usize },
    /// The open connections to an engine are reset.
    Reset { engine: usize },
    /// Bytes to and from an engine are delayed.
    Delayed { engine: usize, delay: Duration },
    /// An engine's process is paused.
    EnginePaused { engine: usize },
    /// An engine is killed and restarted without its states.
    Restarted { engine: usize },
    /// An engine is listed as draining.
    Drained { engine: usize },
    /// A gateway's process is paused.
    GatewayPaused { gateway: usize },
}

/// Fault with its duration.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    pub fault: Fault,
    pub duration: Duration,
}

impl ScheduledFault {
    /// Returns a random fault for this deployment.
    pub fn random(deployment: &Deployment, random: &mut StdRng) -> ScheduledFault {
        let random_duration = Duration::from_millis(random.random_range(FAULT_DURATION_MS));
        let engine = random.random_range(0..deployment.engines.len());
        let gateway = random.random_range(0..deployment.gateways.len());
        let fault = match random.random_range(0..11) {
            0 | 1 => Fault::Blackholed {
                engines: random_engines_of_one_role(deployment, random),
                resets: random.random(),
            },
            2 => Fault::Unconnectable { engines: random_engines_of_one_role(deployment, random) },
            3 => Fault::BlackholedLink { gateway, engine },
            4 => Fault::StalledConnections { engine },
            5 => Fault::Reset { engine },
            6 => Fault::Delayed { engine, delay: Duration::from_millis(random.random_range(LINK_DELAY_MS)) },
            7 => Fault::EnginePaused { engine },
            8 => Fault::Restarted { engine },
            9 => Fault::Drained { engine },
            _ => return ScheduledFault { fault: Fault::GatewayPaused { gateway }, duration: GATEWAY_PAUSE },
        };
        ScheduledFault { fault, duration: random_duration }
    }

    /// Starts the fault.
    pub async fn begin(&self, deployment: &mut Deployment) -> Result<(), DeploymentError> {
        match &self.fault {
            Fault::Blackholed { engines, .. } => set_condition(deployment, engines, Condition::Blackholed),
            Fault::Unconnectable { engines } => set_condition(deployment, engines, Condition::Unconnectable),
            Fault::BlackholedLink { gateway, engine } => {
                deployment.links[&(*gateway, *engine)].set(Condition::Blackholed);
            }
            Fault::StalledConnections { engine } => each(deployment, *engine, Link::stall_open_connections),
            Fault::Reset { engine } => each(deployment, *engine, Link::reset),
            Fault::Delayed { engine, delay } => each(deployment, *engine, |link| link.set_delay(*delay)),
            Fault::EnginePaused { engine } => deployment.engines[*engine].process.signal(Signal::STOP),
            Fault::Restarted { engine } => {
                deployment.restart_engine(*engine).await?;
                deployment.publish();
            }
            Fault::Drained { engine } => {
                deployment.engines[*engine].draining = true;
                deployment.publish();
            }
            Fault::GatewayPaused { gateway } => {
                pause_gateway(&deployment.gateways[*gateway], self.duration, &deployment.records);
            }
        }
        Ok(())
    }

    /// Ends the fault; has no effect on faults that end without action.
    pub fn end(&self, deployment: &mut Deployment) {
        match &self.fault {
            Fault::Blackholed { engines, resets } => {
                if *resets {
                    engines.iter().for_each(|engine| each(deployment, *engine, Link::reset));
                }
                set_condition(deployment, engines, Condition::Open);
            }
            Fault::Unconnectable { engines } => set_condition(deployment, engines, Condition::Open),
            Fault::BlackholedLink { gateway, engine } => {
                deployment.links[&(*gateway, *engine)].set(Condition::Open);
            }
            Fault::StalledConnections { .. }
            | Fault::Reset { .. }
            | Fault::Restarted { .. }
            | Fault::GatewayPaused { .. } => {}
            Fault::Delayed { engine, .. } => each(deployment, *engine, |link| link.set_delay(Duration::ZERO)),
            Fault::EnginePaused { engine } => deployment.engines[*engine].process.signal(Signal::CONT),
            Fault::Drained { engine } => {
                deployment.engines[*engine].draining = false;
                deployment.publish();
            }
        }
    }
}

/// Pauses a gateway's process for this long. The platform bounds how long a gateway is paused, so the end of the pause depends
/// on neither the lock on the deployment nor a timer of the runtime, which may be late.
fn pause_gateway(gateway: &GatewayProcess, duration: Duration, records: &Records) {
    let (name, process, records) = (gateway.name.clone(), gateway.process.signal_target(), records.clone());
    thread::spawn(move || {
        records.add(&name, Event::GatewayPaused);
        process.signal(Signal::STOP);
        thread::sleep(duration);
        process.signal(Signal::CONT);
        records.add(&name, Event::GatewayContinued);
    });
}

/// Applies `action` to the links of all gateways to this engine.
fn each(deployment: &Deployment, engine: usize, action: impl Fn(&Link)) {
    deployment.links_to(engine).for_each(action);
}

fn set_condition(deployment: &Deployment, engines: &[usize], condition: Condition) {
    engines.iter().for_each(|engine| each(deployment, *engine, |link| link.set(condition)));
}

/// Returns random engines of one random role, at most [`MAX_ROLE_SHARE`] of them but at least one.
fn random_engines_of_one_role(deployment: &Deployment, random: &mut StdRng) -> Vec<usize> {
    let role = if random.random_bool(0.5) { Role::Prefill } else { Role::Decode };
    let of_role = deployment.engines.iter().enumerate().filter(|(_, engine)| engine.spec.role == role);
    let all: Vec<usize> = of_role.map(|(index, _)| index).collect();
    let max_count = ((all.len() as f64 * MAX_ROLE_SHARE) as usize).max(1);
    let count = random.random_range(1..=max_count);
    all.choose_multiple(random, count).copied().collect()
}
