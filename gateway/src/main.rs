use std::process::ExitCode;

use glenrail::config::{self, Command};
use glenrail::{daemon, haproxy};

fn run() -> Result<(), String> {
    match config::command(std::env::args().skip(1)).map_err(|e| e.to_string())? {
        Command::Help => print!("{}", config::USAGE),
        Command::Import(path) => haproxy::import(&path)?,
        Command::Serve(files) => daemon::run(files)?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("glenrail: {message}");
            ExitCode::FAILURE
        }
    }
}
