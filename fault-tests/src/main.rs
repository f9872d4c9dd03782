//! The program of the fault tests: `soak` plays random faults over real processes; `engine` is one stand-in engine, which
//! a trial starts as a process of its own.

use std::io;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use glenrail_fault_tests::deployment::DeploymentError;
use glenrail_fault_tests::{crowd, engine, single_shot, soak};

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
    /// Fills a gateway's connection table with idle clients, and succeeds if no request is closed with no answer.
    Crowd(crowd::Options),
    /// Plays seeds of requests that may not be repeated, and succeeds if every answer that allows sending them again is true.
    SingleShot(single_shot::Options),
    /// Plays seeds of random, overlapping faults, and succeeds if every invariant held in each.
    Soak(soak::Options),
}

/// Why a command ends with a failure.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Start(#[from] DeploymentError),
    #[error("invariants were broken in {0} seeds")]
    Broken(usize),
    #[error("{0} requests were closed with no answer")]
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
