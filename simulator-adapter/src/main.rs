//! Standard input to standard output: one batch a line in, one reply a line out.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("cannot read: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        let reply = host.batch(&line)?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write: {e}"))?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("glenrail-simulator-adapter: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
