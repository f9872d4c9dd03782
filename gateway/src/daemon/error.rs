//! Why the gateway cannot start. The texts name the key or the step at fault; they are an operator's first clue.

use std::io;

use crate::config;
use crate::fleet::FleetError;
use crate::plugin::PluginError;
use crate::pools::PoolError;

/// Ends the start; the program prints it and exits with a failure.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A faulty key in the environment, the platform's file or the second front's.
    #[error(transparent)]
    Configuration(#[from] config::ConfigError),
    /// No front is configured: set `EDGE_CONFIG`, name a file after `--front`, or both.
    #[error("configuration: EDGE_CONFIG: missing, and no --front is given")]
    NoFront,
    /// The file after `--plugin` is no script.
    #[error(transparent)]
    Plugin(#[from] PluginError),
    /// The fleet's file, or what it names, cannot be used.
    #[error("configuration: {0}; {advice}", advice = .0.advice())]
    Fleet(#[from] FleetError),
    /// The second front's pools cannot be set up.
    #[error(transparent)]
    Pool(#[from] PoolError),
    /// The runtime cannot be built.
    #[error("cannot start: {0}")]
    Runtime(io::Error),
    /// A front cannot listen: choose an address of this machine with a free port.
    #[error("configuration: {key}: cannot listen on {address}: {error}")]
    Listen {
        /// The key that gives the address.
        key: &'static str,
        /// The address as it is written there.
        address: String,
        /// Why it cannot be listened on.
        error: io::Error,
    },
    /// A listener cannot be copied for a successor.
    #[error("cannot copy a listener: {0}")]
    CopyListener(io::Error),
    /// SIGTERM or SIGHUP cannot be handled.
    #[error("cannot take signals: {0}")]
    Signals(io::Error),
}
