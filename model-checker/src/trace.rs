//! Counterexamples as files: a line that names the world, then a line for each thing that happens, with what the
//! request's machine was fed by it and what it answered.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use anyhow::{bail, Context, Result};
use glenrail_request_lifecycle::request::{Effect, Input, Request, RequestPolicy};
use serde::{Deserialize, Serialize};

use crate::request::Log;
use crate::rules::Rule;
use crate::scenario::{Named, Setting};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Head {
    #[serde(flatten)]
    pub world: Named,
    /// What the trace ends in; none where it shows a corner in which all is well.
    pub breaks: Option<Rule>,
    pub about: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Line<A> {
    act: A,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    fed: Log,
}

/// What a replay showed.
#[derive(Debug)]
pub struct Replayed {
    pub head: Head,
    pub steps: usize,
    pub broke: Option<Rule>,
    /// Inputs that the machine alone took, with the same effects each time.
    pub machine: usize,
}

/// Writes the trace of these acts.
pub fn write<S: Setting>(setting: &S, acts: &[S::Act], about: &str, path: &Path) -> Result<()> {
    let (mut world, mut lines) = (setting.begin(), Vec::new());
    for act in acts {
        let mut fed = Vec::new();
        setting.apply(&mut world, *act, &mut fed);
        lines.push(Line { act: *act, fed });
    }
    let head = Head { world: setting.named(), breaks: S::violated(&world), about: about.into() };
    let mut file = BufWriter::new(File::create(path).with_context(|| format!("{}", path.display()))?);
    writeln!(file, "{}", serde_json::to_string(&head)?)?;
    for line in &lines {
        writeln!(file, "{}", serde_json::to_string(line)?)?;
    }
    Ok(file.flush()?)
}

/// Plays a trace again, in its world and against the request's machine alone.
pub fn replay(path: &Path) -> Result<Replayed> {
    let file = BufReader::new(File::open(path).with_context(|| format!("{}", path.display()))?);
    let mut lines = file.lines();
    let head = lines.next().context("an empty file")??;
    let head: Head = serde_json::from_str(&head).context("line 1")?;
    let lines = lines.collect::<std::io::Result<Vec<String>>>()?;
    match head.world {
        Named::Request(setup) => {
            let machine = alone(&setup, &lines)?;
            in_world(setup, head, &lines, machine)
        }
        Named::Client(setup) => in_world(setup, head, &lines, 0),
        Named::Server(setup) => in_world(setup, head, &lines, 0),
        Named::Budget(setup) => in_world(setup, head, &lines, 0),
    }
}

fn in_world<S: Setting>(setting: S, head: Head, lines: &[String], machine: usize) -> Result<Replayed> {
    let mut world = setting.begin();
    for (n, line) in lines.iter().enumerate() {
        let Line { act, fed }: Line<S::Act> =
            serde_json::from_str(line).with_context(|| format!("line {}", n + 2))?;
        let mut possible = Vec::new();
        setting.acts(&world, &mut possible);
        if !possible.contains(&act) {
            bail!("line {}: {act:?} cannot happen there", n + 2);
        }
        let mut log = Vec::new();
        setting.apply(&mut world, act, &mut log);
        if log != fed {
            bail!("line {}: the machine was fed {log:?}, and the trace says {fed:?}", n + 2);
        }
    }
    Ok(Replayed { head, steps: lines.len(), broke: S::violated(&world), machine })
}

/// The machine alone, fed with what the trace says, must say the same again.
fn alone(setup: &crate::request::Setup, lines: &[String]) -> Result<usize> {
    let mut out: Vec<Effect> = Vec::new();
    let terms = RequestPolicy {
        retry_safety: setup.repeat,
        max_attempts: usize::from(setup.sends),
        cancellation: setup.cancel,
    };
    let (mut machine, mut fed) = (Request::new(terms, &mut out), 0);
    machine.plant(setup.fault);
    for (n, line) in lines.iter().enumerate() {
        let line: Line<serde_json::Value> = serde_json::from_str(line)?;
        for (input, effects) in line.fed {
            out.clear();
            let taken: std::result::Result<(), _> = machine.step(input, &mut out);
            if taken.is_ok() && out != effects {
                bail!("line {}: {:?} gives {out:?}, and the trace says {effects:?}", n + 2, input as Input);
            }
            fed += 1;
        }
    }
    Ok(fed)
}
