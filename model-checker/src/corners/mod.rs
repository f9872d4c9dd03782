//! Corner cases that must be among the explored paths, by name. Each is stored as a trace in `model-checker/traces`.

mod client;
mod request;

use std::path::Path;

use anyhow::Result;

pub use self::client::client_corners;
pub use self::request::request_corners;
use crate::scenario::Scenario;
use crate::trace;

/// A path through a world on which every rule holds.
pub struct Corner<S: Scenario> {
    /// The name of its trace.
    pub name: &'static str,
    /// What it shows; "Found:" marks a counterexample that the checker found and that was fixed in the machine.
    pub description: &'static str,
    /// The world and its bounds.
    pub setup: S,
    /// The path.
    pub actions: Vec<S::Action>,
}

impl<S: Scenario> Corner<S> {
    /// Writes its trace into the folder and replays it; returns whether every rule holds.
    fn write(&self, folder: &Path) -> Result<bool> {
        let path = folder.join(format!("{}.jsonl", self.name));
        trace::write(&self.setup, &self.actions, self.description, &path)?;
        let holds = trace::replay(&path)?.broken.is_none();
        println!("{}", path.display());
        Ok(holds)
    }
}

/// Writes each corner as a trace, and returns whether every rule holds on all of them.
pub fn write(folder: &Path) -> Result<bool> {
    std::fs::create_dir_all(folder)?;
    let mut all_hold = true;
    for corner in request_corners() {
        all_hold &= corner.write(folder)?;
    }
    for corner in client_corners() {
        all_hold &= corner.write(folder)?;
    }
    Ok(all_hold)
}
