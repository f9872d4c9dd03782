//! Errors in starting a deployment or one of its processes.

use std::io;

/// Error in starting or controlling the processes of a deployment.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    #[error(
        "{component}: {error}; build the gateway with `cargo build` first and check that the temporary folder is writable"
    )]
    Start { component: String, error: io::Error },
    #[error("{0} did not become ready in time; see its log for the reason")]
    NotReady(String),
}
