//! Adapter between the simulator and the router. It reads one batch of events per line from standard input,
//! and writes one reply with steps per line to standard output.
//!
//! The simulator owns the clock and the random seeds. The adapter runs as many routers as the simulator
//! requests and makes no decisions of its own. A malformed line terminates it with one line on standard error
//! and a non-zero exit code.

#![deny(missing_docs)]

mod decode;
mod encode;
mod error;
mod host;
#[cfg(test)]
mod tests;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use error::AdapterError;
use host::RouterHost;

fn run() -> Result<(), AdapterError> {
    let mut host = RouterHost::default();
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut line = Vec::new();
    loop {
        line.clear();
        let length = input.read_until(b'\n', &mut line).map_err(AdapterError::Read)?;
        if length == 0 {
            return Ok(());
        }
        let reply = host.handle_batch(&line)?;
        writeln!(output, "{reply}").and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let message = error.to_string().replace('\n', " ");
            eprintln!("glenrail-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
