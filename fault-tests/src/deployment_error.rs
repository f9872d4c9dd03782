//! Why a deployment, or one of its processes, does not start.

use std::io;

/// Why a deployment does not start.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    #[error(
        "{component}: {error}; the gateway is built with `cargo build` first, the folder has to be writable"
    )]
    Start { component: String, error: io::Error },
    #[error("{0} said nothing in time; its log has the reason")]
    NotReady(String),
}
