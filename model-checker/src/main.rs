//! The model checker's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Result;
use clap::{Parser, Subcommand};
use glenrail_model_checker::cases::{self, Case, Reach};
use glenrail_model_checker::check::{explore, Counterexample, Exploration};
use glenrail_model_checker::mutants::{self, Mutant};
use glenrail_model_checker::rules::Rule;
use glenrail_model_checker::scenario::Scenario;
use glenrail_model_checker::{corners, coverage, trace};

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
        #[arg(long, value_enum, default_value_t = Reach::Full)]
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
    let success = match Options::parse().command {
        Command::Check { reach, threads, traces } => {
            let cores = std::thread::available_parallelism().map_or(1, usize::from);
            check(reach, threads.unwrap_or(cores), &traces)?
        }
        Command::Mutants { traces } => find_mutants(traces.as_deref())?,
        Command::Replay { file } => replay(&file)?,
        Command::Corners { folder } => corners::write(&folder)?,
    };
    Ok(if success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Explores all worlds, and prints the figures of each and the coverage of all.
fn check(reach: Reach, threads: usize, traces: &Path) -> Result<bool> {
    let mut success = check_case(&cases::client_case(), threads, traces)?;
    success &= check_case(&cases::server_case(), threads, traces)?;
    for case in cases::budget_cases(reach) {
        success &= check_case(&case, threads, traces)?;
    }
    for case in cases::request_ids_cases(reach) {
        success &= check_case(&case, threads, traces)?;
    }
    for case in cases::response_timing_cases(reach) {
        success &= check_case(&case, threads, traces)?;
    }
    for case in cases::framing_cases(reach) {
        success &= check_case(&case, threads, traces)?;
    }
    for case in cases::request_cases(reach) {
        success &= check_case(&case, threads, traces)?;
    }
    for table in coverage::walked_so_far() {
        println!("{}: {} of {} rows walked", table.machine, table.walked, table.rows);
        table.missing.iter().for_each(|row| println!("  never: {row}"));
        success &= table.missing.is_empty();
    }
    Ok(success)
}

/// Explores one world; a counterexample is printed and written as a trace.
fn check_case<S: Scenario>(case: &Case<S>, threads: usize, traces: &Path) -> Result<bool> {
    let Exploration { states, transitions, depth, duration, counterexample } = explore(&case.setup, threads);
    let (seconds, peak) = (duration.as_secs_f64(), peak_memory_mb().unwrap_or(0.0));
    println!(
        "{}: {states} states, {transitions} transitions, depth {depth}, {seconds:.1} s, peak {peak:.0} MB",
        case.name
    );
    let Some(Counterexample { rule, actions }) = counterexample else { return Ok(true) };
    let path = traces.join(format!("{rule:?}.jsonl"));
    trace::write(&case.setup, &actions, &format!("{}: {}", case.name, rule.description()), &path)?;
    println!("  BROKEN {rule:?}: {} In {} steps: {}", rule.description(), actions.len(), path.display());
    actions.iter().for_each(|action| println!("    {action:?}"));
    Ok(false)
}

/// Peak memory of this process in MB, where the system reports it.
fn peak_memory_mb() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: f64 = peak.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kilobytes / 1024.0)
}

/// Plants every fault in turn; each must be found.
fn find_mutants(traces: Option<&Path>) -> Result<bool> {
    let mut success = true;
    for Mutant { fault, rule } in mutants::REQUEST_MUTANTS {
        success &= find_mutant(format!("{fault:?}"), *rule, &mutants::request_setup(*fault), traces)?;
    }
    for Mutant { fault, rule } in mutants::SERVER_MUTANTS {
        success &= find_mutant(format!("{fault:?}"), *rule, &mutants::server_setup(*fault), traces)?;
    }
    for Mutant { fault, rule } in mutants::CLIENT_MUTANTS {
        success &= find_mutant(format!("{fault:?}"), *rule, &mutants::client_setup(*fault), traces)?;
    }
    for Mutant { fault, rule } in mutants::BUDGET_MUTANTS {
        success &= find_mutant(format!("{fault:?}"), *rule, &mutants::budget_setup(*fault), traces)?;
    }
    for Mutant { fault, rule } in mutants::REQUEST_IDS_MUTANTS {
        success &= find_mutant(format!("{fault:?}"), *rule, &mutants::request_ids_setup(*fault), traces)?;
    }
    for Mutant { fault, rule } in mutants::RESPONSE_TIMING_MUTANTS {
        let setup = mutants::response_timing_setup(*fault);
        success &= find_mutant(format!("{fault:?}"), *rule, &setup, traces)?;
    }
    for Mutant { fault, rule } in mutants::FRAMING_MUTANTS {
        success &= find_mutant(format!("{fault:?}"), *rule, &mutants::framing_setup(*fault), traces)?;
    }
    Ok(success)
}

/// Explores a world with a planted fault, with one thread, so that the counterexample is a shortest one.
fn find_mutant<S: Scenario>(name: String, rule: Rule, setup: &S, traces: Option<&Path>) -> Result<bool> {
    let exploration = explore(setup, 1);
    let Some(Counterexample { rule: broken, actions }) = exploration.counterexample else {
        println!("{name}: NOT FOUND in {} states", exploration.states);
        return Ok(false);
    };
    let remark = if broken == rule { "" } else { " (another than it was planted for)" };
    println!("{name}: breaks {broken:?}{remark} in {} steps, {} states", actions.len(), exploration.states);
    if let Some(folder) = traces {
        let path = folder.join(format!("{name}.jsonl"));
        trace::write(setup, &actions, &format!("planted fault {name}"), &path)?;
    }
    Ok(true)
}

/// Replays a trace; succeeds if it breaks the rule that it names, or none if it names none.
fn replay(file: &Path) -> Result<bool> {
    let replay = trace::replay(file)?;
    println!("{}", replay.header.description);
    println!("{} steps in the world, {} inputs to the machine alone", replay.steps, replay.machine_inputs);
    if let Some(rule) = replay.broken {
        println!("breaks {rule:?}: {}", rule.description());
    }
    Ok(replay.broken == replay.header.breaks)
}
