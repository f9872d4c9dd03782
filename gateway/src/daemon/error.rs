//! Errors that prevent the gateway from starting. Each message names the key or the step that failed.

use std::io;

use crate::config;
use crate::fleet::FleetError;
use crate::plugin::PluginError;
use crate::pools::PoolError;

/// Startup error. The program prints it and exits with a failure status.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A key in the environment, the platform's file or the second front's file is faulty.
    #[error(transparent)]
    Configuration(#[from] config::ConfigError),
    /// No front is configured: set `EDGE_CONFIG`, name a file after `--front`, or both.
    #[error("configuration: EDGE_CONFIG: missing, and no --front is given")]
    NoFront,
    /// The script given with `--plugin` cannot be loaded.
    #[error(transparent)]
    Plugin(#[from] PluginError),
    /// The fleet's file, or a file or address that it names, cannot be used.
    #[error("configuration: {0}; {advice}", advice = .0.advice())]
    Fleet(#[from] FleetError),
    /// The pools of the second front cannot be created.
    #[error(transparent)]
    Pool(#[from] PoolError),
    /// The asynchronous runtime cannot be created.
    #[error("cannot start: {0}")]
    Runtime(io::Error),
    /// A front cannot bind its address. The address must belong to this machine and its port must be free.
    #[error("configuration: {key}: cannot listen on {address}: {error}")]
    Listen {
        /// Configuration key of the address.
        key: &'static str,
        /// Address as written in the configuration.
        address: String,
        /// Cause reported by the system.
        error: io::Error,
    },
    /// The descriptor of a listener cannot be duplicated for a successor.
    #[error("cannot copy a listener: {0}")]
    CopyListener(io::Error),
    /// The handler of SIGTERM, SIGINT or SIGHUP cannot be installed.
    #[error("cannot take signals: {0}")]
    Signals(io::Error),
}
