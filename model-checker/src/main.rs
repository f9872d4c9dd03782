//! The explorer's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::{Parser, Subcommand};
use glenrail_model_checker::check::{self, Case, Explore, Mutant, Reach};
use glenrail_model_checker::scenario::Setting;
use glenrail_model_checker::{client, corners, coverage as cover, server, trace};

/// Explores the machines of requests and connections.
#[derive(Parser)]
#[command(name = "glenrail-model-checker", version)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Explores all worlds; succeeds if every property holds and every row of every table was walked.
    Check {
        /// How far to go.
        #[arg(long, value_enum, default_value_t = Reach::Whole)]
        reach: Reach,
        /// Threads; all cores if left out.
        #[arg(long)]
        threads: Option<usize>,
        /// Folder for the traces of counterexamples.
        #[arg(long, default_value = ".")]
        traces: PathBuf,
    },
    /// Plants one fault after the other; succeeds if each is found.
    Mutants {
        /// Folder for the shortest trace of each; none are kept if left out.
        #[arg(long)]
        traces: Option<PathBuf>,
    },
    /// Plays a trace again, in its world and against the machine alone.
    Replay { file: PathBuf },
    /// Writes the named corners as traces.
    Corners {
        /// Folder for them.
        folder: PathBuf,
    },
}

fn main() -> Result<ExitCode> {
    let well = match Options::parse().command {
        Command::Check { reach, threads, traces } => {
            let cores = std::thread::available_parallelism().map_or(1, usize::from);
            all(reach, threads.unwrap_or(cores), &traces)?
        }
        Command::Mutants { traces } => mutants(traces)?,
        Command::Replay { file } => {
            let replayed = trace::replay(&file)?;
            println!("{}", replayed.head.about);
            println!(
                "{} steps in the world, {} inputs to the machine alone",
                replayed.steps, replayed.machine
            );
            if let Some(rule) = replayed.broke {
                println!("breaks {rule:?}: {}", rule.words());
            }
            replayed.broke == replayed.head.breaks
        }
        Command::Corners { folder } => corners::write(&folder)?,
    };
    Ok(if well { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Peak memory of this process in MB, where the system tells.
fn peak_mb() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    Some(line.trim().trim_end_matches("kB").trim().parse::<f64>().ok()? / 1024.0)
}

fn one<S: Setting>(case: &Case<S>, threads: usize, traces: &std::path::Path) -> Result<bool> {
    let Explore { states, transitions, depth, took, broken } = check::explore(&case.setup, threads);
    let (seconds, peak) = (took.as_secs_f64(), peak_mb().unwrap_or(0.0));
    println!(
        "{}: {states} states, {transitions} transitions, depth {depth}, {seconds:.1} s, peak {peak:.0} MB",
        case.name
    );
    let Some((rule, acts)) = broken else { return Ok(true) };
    let path = traces.join(format!("{rule:?}.jsonl"));
    trace::write(&case.setup, &acts, &format!("{}: {}", case.name, rule.words()), &path)?;
    println!("  BROKEN {rule:?}: {} In {} steps: {}", rule.words(), acts.len(), path.display());
    acts.iter().for_each(|act| println!("    {act:?}"));
    Ok(false)
}

fn all(reach: Reach, threads: usize, traces: &std::path::Path) -> Result<bool> {
    let mut well = one(&check::clients(), threads, traces)?;
    well &= one(&check::servers(), threads, traces)?;
    for case in check::budgets(reach) {
        well &= one(&case, threads, traces)?;
    }
    for case in check::requests(reach) {
        well &= one(&case, threads, traces)?;
    }
    for table in cover::all() {
        println!("{}: {} of {} rows walked", table.machine, table.walked, table.rows);
        table.missing.iter().for_each(|row| println!("  never: {row}"));
        well &= table.missing.is_empty();
    }
    Ok(well)
}

fn mutants(traces: Option<PathBuf>) -> Result<bool> {
    let mut well = true;
    for Mutant { fault, rule } in check::REQUEST_FAULTS {
        well &= planted(format!("{fault:?}"), *rule, &check::faulty(*fault), &traces)?;
    }
    for Mutant { fault, rule } in check::SERVER_FAULTS {
        let setup = server::Setup { fault: Some(*fault), ..check::servers().setup };
        well &= planted(format!("{fault:?}"), *rule, &setup, &traces)?;
    }
    for Mutant { fault, rule } in check::CLIENT_FAULTS {
        let setup = client::Setup { fault: Some(*fault), ..check::clients().setup };
        well &= planted(format!("{fault:?}"), *rule, &setup, &traces)?;
    }
    for Mutant { fault, rule } in check::BUDGET_FAULTS {
        let setup = check::faulty_budget(*fault);
        well &= planted(format!("{fault:?}"), *rule, &setup, &traces)?;
    }
    Ok(well)
}

fn planted<S: Setting>(
    name: String, rule: glenrail_model_checker::rules::Rule, setup: &S, traces: &Option<PathBuf>,
) -> Result<bool> {
    let found = check::explore(setup, 1);
    let Some((broke, acts)) = found.broken else {
        println!("{name}: NOT FOUND in {} states", found.states);
        return Ok(false);
    };
    let other = if broke == rule { "" } else { " (another than it was planted for)" };
    println!("{name}: breaks {broke:?}{other} in {} steps, {} states", acts.len(), found.states);
    if let Some(folder) = traces {
        trace::write(setup, &acts, &format!("planted fault {name}"), &folder.join(format!("{name}.jsonl")))?;
    }
    Ok(true)
}
