//! What the processes of one gateway write to standard error, with the time at which each line came.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;

use crate::clock::{self, Micros};

/// Lines of a gateway's log that are kept.
const MAX_LINES: usize = 20_000;

/// One line.
#[derive(Clone, Debug)]
struct LogLine {
    at: Micros,
    text: String,
}

/// The log of one gateway, across its restarts.
#[derive(Clone, Debug, Default)]
pub struct GatewayLog(Arc<Mutex<Vec<LogLine>>>);

impl GatewayLog {
    /// Reads what a process writes, until it ends.
    pub fn follow(&self, output: ChildStderr) {
        let log = self.clone();
        tokio::spawn(async move {
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(text)) = lines.next_line().await {
                let mut kept = log.lines();
                if kept.len() < MAX_LINES {
                    kept.push(LogLine { at: clock::now(), text });
                }
            }
        });
    }

    fn lines(&self) -> MutexGuard<'_, Vec<LogLine>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lines that hold these words.
    pub fn with(&self, words: &str) -> Vec<String> {
        let lines = self.lines();
        lines.iter().filter(|line| line.text.contains(words)).map(|line| line.text.clone()).collect()
    }

    /// Lines that came between two moments, each with its time.
    pub fn between(&self, from: Micros, until: Micros) -> Vec<String> {
        let lines = self.lines();
        let within = lines.iter().filter(|line| (from..=until).contains(&line.at));
        within.map(|line| format!("{} us: {}", line.at, line.text)).collect()
    }
}
