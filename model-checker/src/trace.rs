//! Paths as files, so that counterexamples and corner cases can be replayed.
//!
//! A trace has one JSON object a line: a header that names the world, then a line for each action, with what the
//! request's machine was fed by it and what it answered.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use anyhow::{bail, Context, Result};
use glenrail_request_lifecycle::request::Request;
use serde::{Deserialize, Serialize};

use crate::request::Log;
use crate::rules::Rule;
use crate::scenario::{AnyScenario, Scenario};

/// The first line of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Header {
    /// The world and its bounds.
    #[serde(flatten)]
    pub world: AnyScenario,
    /// The rule that the trace breaks; none if it shows a corner case in which every rule holds.
    pub breaks: Option<Rule>,
    /// What the trace shows.
    #[serde(rename = "about")]
    pub description: String,
}

/// Any further line of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Step<A> {
    #[serde(rename = "act")]
    action: A,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    fed: Log,
}

/// What a replay showed.
#[derive(Debug)]
pub struct Replay {
    /// The header of the trace.
    pub header: Header,
    /// Number of actions replayed in the world.
    pub steps: usize,
    /// The rule that was broken, if any.
    pub broken: Option<Rule>,
    /// Number of inputs fed to the request's machine alone, which gave the same effects each time.
    pub machine_inputs: usize,
}

/// Line number of a step in its file: lines count from 1, and the header is the first.
fn line_number(step: usize) -> usize {
    step + 2
}

/// Writes the trace of these actions.
pub fn write<S: Scenario>(scenario: &S, actions: &[S::Action], description: &str, path: &Path) -> Result<()> {
    let mut world = scenario.start();
    let mut steps = Vec::new();
    for action in actions {
        let mut fed = Vec::new();
        scenario.apply(&mut world, *action, &mut fed);
        steps.push(Step { action: *action, fed });
    }
    let header =
        Header { world: scenario.to_any(), breaks: S::violated(&world), description: description.to_owned() };
    let mut file = BufWriter::new(File::create(path).with_context(|| format!("{}", path.display()))?);
    writeln!(file, "{}", serde_json::to_string(&header)?)?;
    for step in &steps {
        writeln!(file, "{}", serde_json::to_string(step)?)?;
    }
    Ok(file.flush()?)
}

/// Replays a trace in its world, and against the request's machine alone.
pub fn replay(path: &Path) -> Result<Replay> {
    let file = BufReader::new(File::open(path).with_context(|| format!("{}", path.display()))?);
    let mut lines = file.lines();
    let header = lines.next().context("an empty file")??;
    let header: Header = serde_json::from_str(&header).context("line 1")?;
    let steps = lines.collect::<std::io::Result<Vec<String>>>()?;
    match header.world {
        AnyScenario::Request(setup) => {
            let machine_inputs = replay_machine(&setup, &steps)?;
            replay_world(&setup, header, &steps, machine_inputs)
        }
        AnyScenario::Client(setup) => replay_world(&setup, header, &steps, 0),
        AnyScenario::Server(setup) => replay_world(&setup, header, &steps, 0),
        AnyScenario::Budget(setup) => replay_world(&setup, header, &steps, 0),
        AnyScenario::RequestIds(setup) => replay_world(&setup, header, &steps, 0),
        AnyScenario::ResponseTiming(setup) => replay_world(&setup, header, &steps, 0),
        AnyScenario::Framing(setup) => replay_world(&setup, header, &steps, 0),
    }
}

fn replay_world<S: Scenario>(
    scenario: &S, header: Header, steps: &[String], machine_inputs: usize,
) -> Result<Replay> {
    let mut world = scenario.start();
    for (index, line) in steps.iter().enumerate() {
        let line_number = line_number(index);
        let Step { action, fed }: Step<S::Action> =
            serde_json::from_str(line).with_context(|| format!("line {line_number}"))?;
        let mut enabled = Vec::new();
        scenario.enabled_actions(&world, &mut enabled);
        if !enabled.contains(&action) {
            bail!("line {line_number}: {action:?} cannot happen there");
        }
        let mut log = Vec::new();
        scenario.apply(&mut world, action, &mut log);
        if log != fed {
            bail!("line {line_number}: the machine was fed {log:?}, and the trace says {fed:?}");
        }
    }
    Ok(Replay { header, steps: steps.len(), broken: S::violated(&world), machine_inputs })
}

/// Feeds the machine alone with what the trace says; it must answer the same again. Returns the number of inputs.
fn replay_machine(setup: &crate::request::Setup, steps: &[String]) -> Result<usize> {
    let mut effects = Vec::new();
    let mut machine = Request::new(setup.policy(), &mut effects);
    machine.plant(setup.request_fault);
    let mut inputs = 0;
    for (index, line) in steps.iter().enumerate() {
        let step: Step<serde_json::Value> = serde_json::from_str(line)?;
        for (input, expected) in step.fed {
            effects.clear();
            let accepted = machine.step(input, &mut effects).is_ok();
            if accepted && effects != expected {
                let line_number = line_number(index);
                bail!("line {line_number}: {input:?} gives {effects:?}, and the trace says {expected:?}");
            }
            inputs += 1;
        }
    }
    Ok(inputs)
}
