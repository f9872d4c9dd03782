//! The program of the fault trials: `engine` is one stand-in engine, which a trial starts as a process of its own.

use std::io;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use glenrail_trials::engine;

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
}

fn run(command: Command) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match command {
        Command::Engine(options) => runtime.block_on(engine::run(options)),
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("glenrail-trials: {fault}");
            ExitCode::FAILURE
        }
    }
}
