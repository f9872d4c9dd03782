//! The `glenrail` program: its command line and its exit code.

use std::process::ExitCode;

use glenrail::config::{self, Command};
use glenrail::daemon::{self, DaemonError};
use glenrail::haproxy::{self, ImportError};

/// An error that ends the program with a failure exit code.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    CommandLine(#[from] config::ConfigError),
    #[error(transparent)]
    Import(#[from] ImportError),
    #[error(transparent)]
    Daemon(#[from] DaemonError),
}

fn run() -> Result<(), ProgramError> {
    match config::command(std::env::args().skip(1))? {
        Command::Help => print!("{}", config::USAGE),
        Command::Import(path) => haproxy::import(&path)?,
        Command::Serve(files) => daemon::run(files)?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("glenrail: {error}");
            ExitCode::FAILURE
        }
    }
}
