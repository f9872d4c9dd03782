//! `glenrail-log-report account LOGS`: reports how much of the weight that clients requested was lost, and to which
//! causes.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use glenrail_access_log::counts::Counts;
use glenrail_access_log::loss_report::{Interval, LossReport};
use glenrail_access_log::RequestRecord;

#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Report the weight lost by cause, and the number and price of calls to servers and to discovery, from the logs of
    /// all gateways in a directory.
    Account {
        /// Directory with one log file per gateway.
        logs: PathBuf,
        /// Also print the requests of this many turns with the greatest weight for each cause.
        #[arg(long, default_value_t = 0)]
        tell: usize,
        /// Count only turns that started at least this many seconds after the first request.
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        /// Count only turns that started less than this many seconds after the first request.
        #[arg(long, default_value_t = f64::MAX)]
        to: f64,
    },
}

/// Contents of the logs of all gateways.
struct Logs {
    /// Records of all requests, sorted by arrival.
    records: Vec<RequestRecord>,
    /// Sum over all gateways.
    counts: Counts,
}

/// Reads every file of a directory. The name of a file without its extension is the name of its gateway.
fn read_logs(folder: &Path) -> Result<Logs> {
    let mut records = Vec::new();
    let mut counts = Vec::new();
    for entry in fs::read_dir(folder).with_context(|| folder.display().to_string())? {
        let path = entry?.path();
        let text = fs::read(&path).with_context(|| path.display().to_string())?;
        let gateway = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        for line in String::from_utf8_lossy(&text).lines() {
            if let Some(mut record) = RequestRecord::parse_line(line) {
                record.id = format!("{gateway}/{}", record.id);
                records.push(record);
            } else if let Some(counts_of_line) = Counts::parse_line(line) {
                counts.push((gateway.clone(), counts_of_line));
            }
        }
    }
    records.sort_by(|a, b| a.arrived_unix_ms.total_cmp(&b.arrived_unix_ms));
    Ok(Logs { records, counts: Counts::sum(counts) })
}

fn main() -> Result<()> {
    let Command::Account { logs, tell, from, to } = Cli::parse().command;
    let Logs { records, counts } = read_logs(&logs)?;
    let interval = Interval { from_s: from, to_s: to };
    print!("{}", LossReport::new(&records, interval).table(tell));
    let full_report = LossReport::new(&records, Interval::ALL);
    print!("over the whole time, {} first tries:\n{}", full_report.turns, counts.table(full_report.turns));
    print!("{}", full_report.transfers.table(&counts.prices));
    Ok(())
}
