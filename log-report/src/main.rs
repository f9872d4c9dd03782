//! `glenrail-log-report account LOGS`: what of the worth asked for was lost, and by what cause.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use glenrail_access_log::account::Account;
use glenrail_access_log::counts::Counts;
use glenrail_access_log::RequestRecord;

#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
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

/// Every story in the files of a folder, in order of arrival, and the sum of the gateways' counts.
fn read(folder: &Path) -> Result<(Vec<RequestRecord>, Counts)> {
    let (mut stories, mut counts) = (Vec::new(), Vec::new());
    for entry in fs::read_dir(folder).with_context(|| folder.display().to_string())? {
        let path = entry?.path();
        let text = fs::read(&path).with_context(|| path.display().to_string())?;
        let gateway = path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
        for line in String::from_utf8_lossy(&text).lines() {
            if let Some(mut story) = RequestRecord::parse_line(line) {
                story.id = format!("{gateway}/{}", story.id);
                stories.push(story);
            } else if let Some(told) = Counts::of_line(line) {
                counts.push((gateway.clone(), told));
            }
        }
    }
    stories.sort_by(|a, b| a.arrived_unix_ms.total_cmp(&b.arrived_unix_ms));
    Ok((stories, Counts::sum(counts)))
}

fn main() -> Result<()> {
    match Cli::parse().what {
        What::Account { logs, tell, from, to } => {
            let (stories, counts) = read(&logs)?;
            let whole = Account::of(&stories, 0.0, f64::MAX);
            print!("{}", Account::of(&stories, from, to).table(tell));
            print!("over the whole time, {} first tries:\n{}", whole.turns, counts.table(whole.turns));
            print!("{}", whole.moves.table(&counts.prices));
        }
    }
    Ok(())
}
