//! `glenrail-log-report account LOGS`: what of the weight that clients asked for was lost, and by what cause.

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
    /// An account of the worth lost, by cause, and of what was asked of servers and of discovery and its price, from the
    /// logs of all gateways in a folder.
    Account {
        logs: PathBuf,
        /// Also tell this many of the costliest turns of each cause, request by request.
        #[arg(long, default_value_t = 0)]
        tell: usize,
        /// Only turns that began so many seconds after the first request, or later.
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        /// Only turns that began before so many seconds after the first request.
        #[arg(long, default_value_t = f64::MAX)]
        to: f64,
    },
}

/// What the logs of all gateways hold.
struct Logs {
    /// In order of arrival.
    records: Vec<RequestRecord>,
    /// The sum over all gateways.
    counts: Counts,
}

/// Reads every file of a folder; a file's name without its ending is its gateway's.
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
