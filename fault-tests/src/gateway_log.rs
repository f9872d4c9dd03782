//! Lines that the processes of one gateway write to standard error, with their arrival times.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;

use crate::clock::{self, Micros};

/// Maximum number of lines stored per gateway; later lines are dropped.
const MAX_STORED_LINES: usize = 20_000;

/// One line, with the time at which it was received.
#[derive(Clone, Debug)]
struct LogLine {
    at: Micros,
    text: String,
}

/// Log of one gateway across its restarts.
#[derive(Clone, Debug, Default)]
pub struct GatewayLog(Arc<Mutex<Vec<LogLine>>>);

impl GatewayLog {
    /// Stores the lines that a process writes, until it closes its output.
    pub fn follow(&self, output: ChildStderr) {
        let log = self.clone();
        tokio::spawn(async move {
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(text)) = lines.next_line().await {
                let mut stored = log.lines();
                if stored.len() < MAX_STORED_LINES {
                    stored.push(LogLine { at: clock::now(), text });
                }
            }
        });
    }

    fn lines(&self) -> MutexGuard<'_, Vec<LogLine>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lines that contain `text`.
    pub fn lines_containing(&self, text: &str) -> Vec<String> {
        let lines = self.lines();
        lines.iter().filter(|line| line.text.contains(text)).map(|line| line.text.clone()).collect()
    }

    /// Returns the lines received from `from` until `until`, each with its time.
    pub fn lines_between(&self, from: Micros, until: Micros) -> Vec<String> {
        let lines = self.lines();
        let in_period = lines.iter().filter(|line| (from..=until).contains(&line.at));
        in_period.map(|line| format!("{} us: {}", line.at, line.text)).collect()
    }
}
