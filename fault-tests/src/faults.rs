//! Faults that a soak run draws: each begins, lasts a while, and ends; several may be under way at once.

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

/// The platform allows a gateway to be held up for so long.
const GATEWAY_PAUSE: Duration = Duration::from_millis(150);
/// The least and the most time that a fault lasts (ms).
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 200..=3_000;
/// Share of the engines of a role that fall silent together, at most.
const MAX_ROLE_SHARE: f64 = 0.8;
/// The least and the most that a link delays (ms).
const LINK_DELAY_MS: std::ops::RangeInclusive<u64> = 10..=120;

/// One fault, with whom it hits.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The ways to these engines are silent; those that stood are reset at the end if `resets`.
    Blackholed { engines: Vec<usize>, resets: bool },
    /// As [`Fault::Blackholed`], and no new connection comes up.
    Unconnectable { engines: Vec<usize> },
    /// One gateway's way to an engine is silent.
    BlackholedLink { gateway: usize, engine: usize },
    /// The connections that stand now are silent for good; new ones are well.
    StalledConnections { engine: usize },
    /// The connections that stand now are reset.
    Reset { engine: usize },
    /// What passes to and from an engine is late.
    Delayed { engine: usize, delay: Duration },
    /// An engine's process stands still.
    EnginePaused { engine: usize },
    /// An engine is killed and comes back empty.
    Restarted { engine: usize },
    /// An engine drains.
    Drained { engine: usize },
    /// A gateway's process is held up for a moment.
    GatewayPaused { gateway: usize },
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    pub fault: Fault,
    pub duration: Duration,
}

impl ScheduledFault {
    /// Draws one for this deployment.
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

    /// Has it begin.
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

    /// Has it end.
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

/// Has a gateway's process stand still for so long. The platform bounds how long a gateway is held up, so its end waits for
/// nobody, and for no timer of a runtime that may itself be late.
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

fn each(deployment: &Deployment, engine: usize, action: impl Fn(&Link)) {
    deployment.links_to(engine).for_each(action);
}

fn set_condition(deployment: &Deployment, engines: &[usize], condition: Condition) {
    engines.iter().for_each(|engine| each(deployment, *engine, |link| link.set(condition)));
}

/// Some engines of one role, of which the others stay well.
fn random_engines_of_one_role(deployment: &Deployment, random: &mut StdRng) -> Vec<usize> {
    let role = if random.random_bool(0.5) { Role::Prefill } else { Role::Decode };
    let of_role = deployment.engines.iter().enumerate().filter(|(_, engine)| engine.spec.role == role);
    let all: Vec<usize> = of_role.map(|(index, _)| index).collect();
    let max_count = ((all.len() as f64 * MAX_ROLE_SHARE) as usize).max(1);
    let count = random.random_range(1..=max_count);
    all.choose_multiple(random, count).copied().collect()
}
