//! Command-line program of the fault tests. `soak`, `single-shot` and `crowd` run tests on real processes; `engine` runs the
//! stand-in engine, which the tests start as a separate process.

use std::io;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use glenrail_fault_tests::deployment::DeploymentError;
use glenrail_fault_tests::{crowd, engine, single_shot, slow_answers, soak};

#[derive(Parser)]
#[command(about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one stand-in engine until it is killed.
    Engine(engine::Options),
    /// Fills a gateway's connection table with idle clients, and fails if a request is closed without a response.
    Crowd(crowd::Options),
    /// Runs seeds of non-repeatable requests, and fails if a response permits a retry that is not safe.
    SingleShot(single_shot::Options),
    /// Runs seeds of answers at random paces, and fails if a rule on answers is broken in any of them.
    SlowAnswers(slow_answers::Options),
    /// Runs seeds of random, overlapping faults, and fails if an invariant is broken in any of them.
    Soak(soak::Options),
}

/// Error with which a command fails.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Start(#[from] DeploymentError),
    #[error("invariants were broken in {0} seeds")]
    Broken(usize),
    #[error("{0} requests were closed without a response")]
    Unanswered(usize),
}

fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()
}

fn crowd(options: &crowd::Options) -> Result<(), Failure> {
    let program = std::env::current_exe()?;
    let report = runtime()?.block_on(crowd::run(options, &program))?;
    print!("{report}");
    match report.unanswered() {
        0 => Ok(()),
        unanswered => Err(Failure::Unanswered(unanswered)),
    }
}

fn soak(options: &soak::Options) -> Result<(), Failure> {
    let program = std::env::current_exe()?;
    let runtime = runtime()?;
    let mut broken = 0;
    for seed in options.seed..options.seed + options.seeds {
        let report = runtime.block_on(soak::run(options, seed, &program))?;
        print!("{report}");
        broken += usize::from(!report.passed());
    }
    match broken {
        0 => Ok(()),
        broken => Err(Failure::Broken(broken)),
    }
}

fn slow_answers(options: &slow_answers::Options) -> Result<(), Failure> {
    let runtime = runtime()?;
    let mut broken = 0;
    for seed in options.seed..options.seed + options.seeds {
        let report = runtime.block_on(slow_answers::run(options, seed))?;
        print!("{report}");
        broken += usize::from(!report.passed());
    }
    match broken {
        0 => Ok(()),
        broken => Err(Failure::Broken(broken)),
    }
}

fn single_shot(options: &single_shot::Options) -> Result<(), Failure> {
    let program = std::env::current_exe()?;
    let runtime = runtime()?;
    let mut broken = 0;
    for seed in options.seed..options.seed + options.seeds {
        let report = runtime.block_on(single_shot::run(options, seed, &program))?;
        print!("{report}");
        broken += usize::from(!report.passed());
    }
    match broken {
        0 => Ok(()),
        broken => Err(Failure::Broken(broken)),
    }
}

fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Engine(options) => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            Ok(runtime.block_on(engine::run(options))?)
        }
        Command::Crowd(options) => crowd(&options),
        Command::SingleShot(options) => single_shot(&options),
        Command::SlowAnswers(options) => slow_answers(&options),
        Command::Soak(options) => soak(&options),
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("glenrail-fault-tests: {fault}");
            ExitCode::FAILURE
        }
    }
}
