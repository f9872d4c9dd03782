//! Why the adapter ends before the simulator does.

use std::io;

use thiserror::Error;

/// A fault of the simulator's input, or of the pipes to it.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input broke; look at the simulator's own output.
    #[error("cannot read: {0}")]
    Read(io::Error),
    /// Standard output broke, mostly as the simulator has ended.
    #[error("cannot write: {0}")]
    Write(io::Error),
    /// A line is not JSON; the simulator and the adapter are of different versions.
    #[error("a line is not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A line or an event lacks what each of them must have.
    #[error("{0}")]
    Missing(&'static str),
}
