//! Errors that terminate the adapter.

use std::io;

use thiserror::Error;

/// Error in the simulator's input, or in the pipes to the simulator.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input failed. The output of the simulator may show the cause.
    #[error("cannot read standard input: {0}")]
    Read(io::Error),
    /// Standard output failed, usually because the simulator has terminated.
    #[error("cannot write standard output: {0}")]
    Write(io::Error),
    /// An input line is not JSON, because the versions of the simulator and the adapter differ.
    #[error("input line is not JSON: {0}")]
    NotJson(serde_json::Error),
    /// An input line or an event lacks a required part.
    #[error("{0}")]
    InvalidInput(&'static str),
}
